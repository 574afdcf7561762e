//! Text encoding of the records in the table service: `name=value` fields, one per line.
//!
//! During an upgrade, records written by one release are read by another, so unknown fields are
//! skipped. The format needs no parser library among the decision layer's dependencies, and an
//! operator can read a row without tools.

use std::collections::BTreeMap;

/// Builds the text of one record.
///
/// ```
/// use sedgeridge_state::fields::FieldReader;
/// use sedgeridge_state::fields::FieldWriter;
///
/// let mut writer = FieldWriter::default();
/// writer.put("state", "open").put("note", "two\nlines");
/// let text = writer.finish();
/// let reader = FieldReader::parse(&text);
/// assert_eq!(reader.text("note").as_deref(), Some("two\nlines"));
/// ```
#[derive(Debug, Default)]
pub struct FieldWriter {
    text: String,
}

impl FieldWriter {
    /// Appends a field.
    ///
    /// ```
    /// let mut writer = sedgeridge_state::fields::FieldWriter::default();
    /// writer.put("number", &7.to_string());
    /// assert_eq!(writer.finish(), "number=7");
    /// ```
    pub fn put(&mut self, name: &str, value: &str) -> &mut Self {
        if !self.text.is_empty() {
            self.text.push('\n');
        }
        self.text.push_str(name);
        self.text.push('=');
        for c in value.chars() {
            match c {
                '\\' => self.text.push_str("\\\\"),
                '\n' => self.text.push_str("\\n"),
                _ => self.text.push(c),
            }
        }
        self
    }

    /// Returns the text of the record.
    ///
    /// ```
    /// assert_eq!(sedgeridge_state::fields::FieldWriter::default().finish(), "");
    /// ```
    pub fn finish(self) -> String {
        self.text
    }
}

/// Reads the fields of one record.
#[derive(Debug)]
pub struct FieldReader<'a> {
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> FieldReader<'a> {
    /// Splits the text into fields; lines without `=` are skipped.
    ///
    /// ```
    /// let reader = sedgeridge_state::fields::FieldReader::parse("number=7");
    /// assert_eq!(reader.number("number"), Some(7));
    /// ```
    pub fn parse(text: &'a str) -> Self {
        let fields = text.lines().filter_map(|l| l.split_once('=')).collect();
        Self { fields }
    }

    /// Returns the unescaped value of a field.
    ///
    /// ```
    /// let reader = sedgeridge_state::fields::FieldReader::parse("state=open");
    /// assert_eq!(reader.text("missing"), None);
    /// ```
    pub fn text(&self, name: &str) -> Option<String> {
        let raw = self.fields.get(name)?;
        let mut value = String::with_capacity(raw.len());
        let mut chars = raw.chars();
        while let Some(c) = chars.next() {
            match c {
                '\\' => value.push(if chars.next()? == 'n' { '\n' } else { '\\' }),
                _ => value.push(c),
            }
        }
        Some(value)
    }

    /// Returns the value of a field as a number.
    ///
    /// ```
    /// let reader = sedgeridge_state::fields::FieldReader::parse("number=seven");
    /// assert_eq!(reader.number("number"), None);
    /// ```
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.parse().ok()
    }
}
