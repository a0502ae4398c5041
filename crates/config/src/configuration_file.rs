//! Reads a configuration from a generated file or from a questionnaire.

use cactustrack_types::{CONFIGURATION_FORMAT, Configuration};

use crate::reader::Reader;
use crate::{Findings, Questionnaire, generate};

/// Parses a generated configuration, which is recognized by its key `format`. Any other file is
/// parsed as a questionnaire, from which a configuration with version 0 is generated.
/// `file_name` is used in findings only.
pub fn parse_configuration(file_name: &str, text: &str) -> Result<Configuration, Findings> {
    let (reader, table) = Reader::parse(file_name, text);
    let mut root = reader.root(&table);
    let format = root.field("format");
    if !format.is_present() {
        let questionnaire = Questionnaire::parse(file_name, text)?;
        return Ok(generate(&questionnaire, 0).configuration);
    }
    format.integer_u32(CONFIGURATION_FORMAT..=CONFIGURATION_FORMAT);
    let configuration = toml::from_str(text).map_err(|error| {
        reader.error_in_generated(
            &error.span().unwrap_or_default(),
            "(configuration)",
            error.message(),
        );
    });
    let findings = reader.into_findings();
    match configuration {
        Ok(configuration) if !findings.has_errors() => Ok(configuration),
        _ => Err(findings),
    }
}
