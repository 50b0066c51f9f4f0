//! Validates JSON documents.
//!
//! Each error is a finding with the file and the JSON pointer (RFC 6901) of its place. All findings about a
//! document are collected and reported together.

use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// An error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The name of the document, usually a file path.
    pub file: String,
    /// The JSON pointer of the invalid value; empty for the whole document.
    pub pointer: String,
    /// What is wrong, and what is expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pointer = if self.pointer.is_empty() {
            "(document)"
        } else {
            &self.pointer
        };
        write!(f, "{}: {}: {}", self.file, pointer, self.message)
    }
}

/// The findings about one document.
#[derive(Debug)]
pub struct Findings {
    file: String,
    list: Vec<Finding>,
}

impl Findings {
    /// Returns an empty list of findings about the document of this name.
    pub fn new(file: impl Into<String>) -> Findings {
        Findings {
            file: file.into(),
            list: Vec::new(),
        }
    }

    /// Adds a finding.
    pub fn add(&mut self, pointer: &str, message: impl Into<String>) {
        self.list.push(Finding {
            file: self.file.clone(),
            pointer: pointer.to_owned(),
            message: message.into(),
        });
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the findings, in the order in which they were added.
    pub fn into_list(self) -> Vec<Finding> {
        self.list
    }

    /// Parses JSON. A syntax error becomes a finding with its line and column.
    pub fn parse(&mut self, text: &[u8]) -> Option<Value> {
        match serde_json::from_slice(text) {
            Ok(value) => Some(value),
            Err(e) => {
                self.add("", format!("not JSON: {e}"));
                None
            }
        }
    }
}

/// Reads the fields of an object.
///
/// Each field is read by name, and [`Fields::finish`] reports the fields that were not read as unknown.
#[derive(Debug)]
pub struct Fields<'a> {
    pointer: String,
    map: &'a Map<String, Value>,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Reads `value` as an object; reports any other type.
    pub fn new(value: &'a Value, pointer: &str, findings: &mut Findings) -> Option<Fields<'a>> {
        let Value::Object(map) = value else {
            findings.add(pointer, format!("must be an object, is {}", kind(value)));
            return None;
        };
        Some(Fields {
            pointer: pointer.to_owned(),
            map,
            known: Vec::new(),
        })
    }

    /// Returns the JSON pointer of a field.
    pub fn at(&self, name: &str) -> String {
        format!("{}/{}", self.pointer, escape(name))
    }

    /// Returns the raw value of a field; `None` if it is absent.
    pub fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.map.get(name)
    }

    /// Reads a whole number within a range. Returns the default if the field is absent or invalid.
    pub fn number(
        &mut self,
        name: &'static str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> u64 {
        let Some(value) = self.value(name) else {
            return default;
        };
        match value.as_u64() {
            Some(n) if range.contains(&n) => n,
            _ => {
                let (low, high) = (range.start(), range.end());
                let message = format!("must be a whole number from {low} to {high}, is {value}");
                findings.add(&self.at(name), message);
                default
            }
        }
    }

    /// Reads a number within a range. Returns the default if the field is absent or invalid.
    pub fn ratio(
        &mut self,
        name: &'static str,
        default: f64,
        range: std::ops::RangeInclusive<f64>,
        findings: &mut Findings,
    ) -> f64 {
        let Some(value) = self.value(name) else {
            return default;
        };
        match value.as_f64() {
            Some(n) if range.contains(&n) => n,
            _ => {
                let (low, high) = (range.start(), range.end());
                let message = format!("must be a number from {low} to {high}, is {value}");
                findings.add(&self.at(name), message);
                default
            }
        }
    }

    /// Reads a boolean. Returns the default if the field is absent or invalid.
    pub fn switch(&mut self, name: &'static str, default: bool, findings: &mut Findings) -> bool {
        let Some(value) = self.value(name) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            let message = format!("must be true or false, is {value}");
            findings.add(&self.at(name), message);
            default
        })
    }

    /// Reads a non-empty string. Returns the default if the field is absent; the field is required if the
    /// default is `None`.
    pub fn text(
        &mut self,
        name: &'static str,
        default: Option<&str>,
        findings: &mut Findings,
    ) -> String {
        match (self.value(name), default) {
            (Some(Value::String(s)), _) if !s.is_empty() => s.clone(),
            (Some(other), _) => {
                let message = format!("must be a non-empty string, is {other}");
                findings.add(&self.at(name), message);
                String::new()
            }
            (None, Some(default)) => default.to_owned(),
            (None, None) => {
                findings.add(&self.at(name), "is required");
                String::new()
            }
        }
    }

    /// Reads one of several words. Returns the value of the first one if the field is absent or invalid.
    pub fn word<T: Copy>(
        &mut self,
        name: &'static str,
        words: &[(&str, T)],
        findings: &mut Findings,
    ) -> T {
        let Some(value) = self.value(name) else {
            return words[0].1;
        };
        let found = words.iter().find(|(w, _)| value.as_str() == Some(w));
        if let Some((_, t)) = found {
            return *t;
        }
        let list: Vec<String> = words.iter().map(|(w, _)| format!("`{w}`")).collect();
        let message = format!("must be one of {}, is {value}", list.join(", "));
        findings.add(&self.at(name), message);
        words[0].1
    }

    /// Reads an array of non-empty strings; `None` if the field is absent.
    pub fn texts(&mut self, name: &'static str, findings: &mut Findings) -> Option<Vec<String>> {
        let value = self.value(name)?;
        let Value::Array(items) = value else {
            let message = format!("must be an array of strings, is {}", kind(value));
            findings.add(&self.at(name), message);
            return Some(Vec::new());
        };
        let mut texts = Vec::new();
        for (i, item) in items.iter().enumerate() {
            match item.as_str() {
                Some(s) if !s.is_empty() => texts.push(s.to_owned()),
                _ => {
                    let place = format!("{}/{i}", self.at(name));
                    findings.add(&place, format!("must be a non-empty string, is {item}"));
                }
            }
        }
        Some(texts)
    }

    /// Reports the fields that were not read as unknown.
    pub fn finish(self, findings: &mut Findings) {
        for name in self.map.keys() {
            if !self.known.contains(&name.as_str()) {
                let message = format!("unknown field; known are {}", self.known.join(", "));
                findings.add(&self.at(name), message);
            }
        }
    }
}

/// Escapes one reference token of a JSON pointer.
pub fn escape(token: &str) -> String {
    token.replace('~', "~0").replace('/', "~1")
}

/// Returns the type of a value for messages.
pub fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
