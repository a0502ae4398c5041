//! Reads a configuration from a file that is either generated or a questionnaire.

use cactustrack_types::{CONFIGURATION_FORMAT, Configuration};

use crate::reader::Reader;
use crate::{Findings, Questionnaire, generate};

/// Reads a generated configuration, which is recognized by its key `format`, or generates one from
/// a questionnaire with version 0. `file_name` is used in findings only.
pub fn parse_configuration(file_name: &str, text: &str) -> Result<Configuration, Findings> {
    let (reader, table) = Reader::parse(file_name, text);
    let mut root = reader.root(&table);
    let format = root.field("format");
    if !format.is_present() {
        let questionnaire = Questionnaire::parse(file_name, text)?;
        return Ok(generate(&questionnaire, 0).configuration);
    }
    format.small_integer(CONFIGURATION_FORMAT..=CONFIGURATION_FORMAT);
    let configuration = toml::from_str(text).map_err(|error| {
        reader.error_in(&error.span().unwrap_or_default(), "(configuration)", error.message());
    });
    let findings = reader.into_findings();
    match configuration {
        Ok(configuration) if !findings.has_errors() => Ok(configuration),
        _ => Err(findings),
    }
}
