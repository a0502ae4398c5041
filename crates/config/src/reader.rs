//! TOML reader that records the location of each value and collects all findings instead of
//! stopping at the first one.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::sync::Arc;

use serde::Serialize;
use serde_spanned::Spanned;
use toml::de::{DeInteger, DeTable, DeValue};

use crate::{Finding, Findings, Severity};

/// A value and its location in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Full path of the key, for example `services[0].slots`.
    pub key: String,
    /// Line number, starting at 1.
    pub line: usize,
}

impl<T> Located<T> {
    /// Converts the value and keeps the location.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Located<U> {
        Located { value: f(self.value), key: self.key, line: self.line }
    }
}

/// Reader of one file, which collects its findings.
pub(crate) struct Reader {
    file: Arc<str>,
    line_starts: Vec<usize>,
    /// Lines with a syntax error. The parser recovers from the error with a guessed value, so
    /// further findings on such a line would refer to the guess and are suppressed.
    syntax_error_lines: BTreeSet<usize>,
    findings: RefCell<Findings>,
}

impl Reader {
    /// Parses the text. Records syntax errors as findings and returns what could be parsed.
    pub(crate) fn parse<'t>(file: &str, text: &'t str) -> (Self, DeTable<'t>) {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let mut reader = Self {
            file: file.into(),
            line_starts: std::iter::once(0).chain(newlines.map(|(at, _)| at + 1)).collect(),
            syntax_error_lines: BTreeSet::new(),
            findings: RefCell::default(),
        };
        let (document, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let line = reader.line(&error.span().unwrap_or_default());
            if !reader.syntax_error_lines.contains(&line) {
                reader.error(line, "(syntax)", error.message(), "correct the TOML syntax");
                reader.syntax_error_lines.insert(line);
            }
        }
        (reader, document.into_inner())
    }

    /// Returns the root table.
    pub(crate) fn root<'r, 't>(&'r self, table: &'r DeTable<'t>) -> Section<'r, 't> {
        Section { reader: self, table, path: String::new(), line: 1, known: Vec::new() }
    }

    /// Reports an error.
    pub(crate) fn error(
        &self,
        line: usize,
        key: &str,
        problem: impl Display,
        remedy: impl Display,
    ) {
        self.report(Severity::Error, line, key, &problem, &remedy);
    }

    /// Reports a warning.
    pub(crate) fn warning(
        &self,
        line: usize,
        key: &str,
        problem: impl Display,
        remedy: impl Display,
    ) {
        self.report(Severity::Warning, line, key, &problem, &remedy);
    }

    /// Reports an error at the location of a value.
    pub(crate) fn error_at<T>(
        &self,
        located: &Located<T>,
        problem: impl Display,
        remedy: impl Display,
    ) {
        self.error(located.line, &located.key, problem, remedy);
    }

    /// Reports an error in a generated file. The remedy is to generate the file again.
    pub(crate) fn error_in_generated(&self, span: &Range<usize>, key: &str, problem: impl Display) {
        self.error(self.line(span), key, problem, "generate the file again");
    }

    /// Returns the findings.
    pub(crate) fn into_findings(self) -> Findings {
        self.findings.into_inner()
    }

    fn report(
        &self,
        severity: Severity,
        line: usize,
        key: &str,
        problem: &dyn Display,
        remedy: &dyn Display,
    ) {
        if self.syntax_error_lines.contains(&line) {
            return;
        }
        self.findings.borrow_mut().push(Finding {
            file: Arc::clone(&self.file),
            line,
            key: key.to_owned(),
            problem: problem.to_string(),
            remedy: remedy.to_string(),
            severity,
        });
    }

    fn line(&self, span: &Range<usize>) -> usize {
        self.line_starts.partition_point(|start| *start <= span.start)
    }
}

/// A table that records which of its keys were read, so that unknown keys can be reported.
pub(crate) struct Section<'r, 't> {
    reader: &'r Reader,
    table: &'r DeTable<'t>,
    path: String,
    line: usize,
    known: Vec<&'static str>,
}

impl<'r, 't> Section<'r, 't> {
    /// Returns the line of the table header.
    pub(crate) fn line(&self) -> usize {
        self.line
    }

    /// Returns the full path of the table.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Returns the field with this key and marks the key as known.
    pub(crate) fn field(&mut self, key: &'static str) -> Field<'r, 't> {
        self.known.push(key);
        let value = self.table.get(key);
        let line = value.map_or(self.line, |value| self.reader.line(&value.span()));
        Field { reader: self.reader, key: join(&self.path, key), line, value }
    }

    /// Reports the keys that were not read as unknown keys. Each finding names the most similar
    /// known key.
    pub(crate) fn finish(self) {
        for (key, _) in self.table {
            if self.known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let line = self.reader.line(&key.span());
            let remedy = self.most_similar(key.get_ref());
            self.reader.error(line, &join(&self.path, key.get_ref()), "unknown key", remedy);
        }
    }

    fn most_similar(&self, key: &str) -> String {
        let mut known = self.known.clone();
        known.sort_by_key(|other| strsim::damerau_levenshtein(key, other));
        match known.first() {
            Some(similar) => format!("did you mean `{similar}`?"),
            None => "remove it".to_owned(),
        }
    }
}

/// A key and its value, if the key is present in the file.
pub(crate) struct Field<'r, 't> {
    reader: &'r Reader,
    key: String,
    line: usize,
    value: Option<&'r Spanned<DeValue<'t>>>,
}

impl<'r, 't> Field<'r, 't> {
    /// Returns true if the key is present in the file.
    pub(crate) fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Reports an error if the key is missing. No key is reported as missing after a syntax error,
    /// because the parser may have skipped the key.
    pub(crate) fn required(self, remedy: &str) -> Self {
        if self.value.is_none() && self.reader.syntax_error_lines.is_empty() {
            self.reader.error(self.line, &self.key, "the key is missing", remedy);
        }
        self
    }

    /// Reports an error if the value is an empty array.
    pub(crate) fn non_empty(self, remedy: &str) -> Self {
        let array = self.value.and_then(|value| value.get_ref().as_array());
        if array.is_some_and(|array| array.is_empty()) {
            self.reader.error(self.line, &self.key, "the list is empty", remedy);
        }
        self
    }

    /// Reads a string.
    pub(crate) fn text(&self) -> Option<Located<String>> {
        let value = self.value?;
        let Some(text) = value.get_ref().as_str() else {
            return self.wrong_type("a string");
        };
        Some(self.located(text.to_owned()))
    }

    /// Reads a string and parses it as `T`. `remedy` describes the expected format.
    pub(crate) fn parsed<T: FromStr>(&self, remedy: &str) -> Option<Located<T>>
    where
        T::Err: Display,
    {
        self.parse_text(remedy, |text, error| format!("{text:?}: {error}"))
    }

    /// Reads a string and parses it as `T`. Findings do not quote the string, which may contain a
    /// secret.
    pub(crate) fn parsed_without_quoting<T: FromStr>(&self, remedy: &str) -> Option<Located<T>>
    where
        T::Err: Display,
    {
        self.parse_text(remedy, |_, error: T::Err| error.to_string())
    }

    fn parse_text<T: FromStr>(
        &self,
        remedy: &str,
        problem: impl FnOnce(&str, T::Err) -> String,
    ) -> Option<Located<T>> {
        let text = self.text()?;
        match text.value.parse() {
            Ok(value) => Some(self.located(value)),
            Err(error) => {
                self.reader.error_at(&text, problem(&text.value, error), remedy);
                None
            }
        }
    }

    /// Reads an integer within a range.
    pub(crate) fn integer(&self, range: RangeInclusive<u64>) -> Option<Located<u64>> {
        let value = self.value?;
        let Some(integer) = value.get_ref().as_integer() else {
            return self.wrong_type("an integer");
        };
        match to_u64(integer).filter(|number| range.contains(number)) {
            Some(number) => Some(self.located(number)),
            None => {
                let remedy = format!("use {} to {}", range.start(), range.end());
                self.reader.error(
                    self.line,
                    &self.key,
                    format!("{integer} is out of range"),
                    remedy,
                );
                None
            }
        }
    }

    /// Reads an integer within a range of `u32`.
    pub(crate) fn integer_u32(&self, range: RangeInclusive<u32>) -> Option<Located<u32>> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.integer(range)?;
        u32::try_from(number.value).ok().map(|value| number.map(|_| value))
    }

    /// Reads a boolean.
    pub(crate) fn boolean(&self) -> Option<Located<bool>> {
        let value = self.value?;
        match value.get_ref().as_bool() {
            Some(value) => Some(self.located(value)),
            None => self.wrong_type("true or false"),
        }
    }

    /// Reads a string that has to be one of the given choices.
    pub(crate) fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> Option<Located<T>> {
        let text = self.text()?;
        if let Some((_, value)) = choices.iter().find(|(word, _)| *word == text.value) {
            return Some(self.located(*value));
        }
        let words: Vec<_> = choices.iter().map(|(word, _)| format!("{word:?}")).collect();
        let remedy = format!("use one of {}", words.join(", "));
        self.reader.error_at(&text, format!("{:?} is not a valid value", text.value), remedy);
        None
    }

    /// Reads a table.
    pub(crate) fn section(&self) -> Option<Section<'r, 't>> {
        let value = self.value?;
        let Some(table) = value.get_ref().as_table() else {
            return self.wrong_type("a table");
        };
        Some(self.subsection(table, self.key.clone(), self.line))
    }

    /// Reads an array of tables.
    pub(crate) fn sections(&self) -> Vec<Section<'r, 't>> {
        let tables = self.elements().into_iter().filter_map(|field| field.section());
        tables.collect()
    }

    /// Reads an array.
    pub(crate) fn elements(&self) -> Vec<Self> {
        let Some(value) = self.value else { return Vec::new() };
        let Some(array) = value.get_ref().as_array() else {
            return self.wrong_type("an array").unwrap_or_default();
        };
        let element = |(index, value): (usize, &'r Spanned<DeValue<'t>>)| Self {
            reader: self.reader,
            key: format!("{}[{index}]", self.key),
            line: self.reader.line(&value.span()),
            value: Some(value),
        };
        array.iter().enumerate().map(element).collect()
    }

    /// Reports that the value does not have the expected type.
    fn wrong_type<T>(&self, expected: &str) -> Option<T> {
        let found = self.value.map_or("nothing", |value| value.get_ref().type_str());
        let problem = format!("found {found}");
        self.reader.error(self.line, &self.key, problem, format!("write {expected}"));
        None
    }

    /// Returns true if the value is a string.
    pub(crate) fn is_text(&self) -> bool {
        self.value.is_some_and(|value| value.get_ref().is_str())
    }

    fn subsection(&self, table: &'r DeTable<'t>, path: String, line: usize) -> Section<'r, 't> {
        Section { reader: self.reader, table, path, line, known: Vec::new() }
    }

    fn located<T>(&self, value: T) -> Located<T> {
        Located { value, key: self.key.clone(), line: self.line }
    }
}

fn to_u64(integer: &DeInteger<'_>) -> Option<u64> {
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
