//! Reader of typed fields that collects all errors instead of stopping at the first.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::{Range, Ranged},
    parse_to_ast, parse_to_serde_value,
};
use serde::de::DeserializeOwned;

use crate::{
    Section,
    fault::{Fault, SettingsError},
};

/// JSON with comments and trailing commas and no other extension, so that common tools can read the files.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A settings file and the errors found so far.
struct SettingsFile<'t> {
    name: &'t str,
    text: &'t str,
    faults: Vec<Fault>,
}

impl SettingsFile<'_> {
    fn add_fault(&mut self, range: Range, text: String) {
        self.faults.push(Fault::new(self.name, self.text, range.start, range.end, text));
    }
}

/// Reads the fields of one object in the file by name.
pub struct ObjectReader<'r, 't> {
    file: &'r mut SettingsFile<'t>,
    /// Path of the object in the file, ending in a dot unless it is empty.
    path: String,
    range: Range,
    fields: Vec<&'r ObjectProp<'t>>,
    /// Names of the fields read so far.
    known_names: Vec<&'static str>,
}

/// A member of an object with arbitrary names, whose value is validated elsewhere.
#[derive(Debug, Clone)]
pub struct ObjectMember {
    /// The member's name.
    pub name: String,
    /// Its value as JSON.
    pub value: serde_json::Value,
    /// Its span in the file.
    pub span: Span,
}

/// A range of bytes in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    start: usize,
    end: usize,
}

/// Parses `text` of the file `name` and reads its root object with `read`.
pub(crate) fn read_root<S>(
    name: &str,
    text: &str,
    read: impl FnOnce(&mut ObjectReader<'_, '_>) -> Option<S>,
) -> Result<S, SettingsError> {
    let mut file = SettingsFile { name, text, faults: Vec::new() };
    let settings = match parse_to_ast(text, &CollectOptions::default(), &SYNTAX) {
        Ok(parsed) => match parsed.value {
            Some(Value::Object(object)) => {
                let mut reader = ObjectReader::new(&mut file, String::new(), &object);
                read(&mut reader)
            }
            _ => {
                let range = Range { start: 0, end: text.len() };
                file.add_fault(range, "expected an object".to_owned());
                None
            }
        },
        Err(error) => {
            file.add_fault(error.range(), error.kind().to_string());
            None
        }
    };
    match settings {
        Some(settings) if file.faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::Faulty { name: name.to_owned(), faults: file.faults }),
    }
}

impl<'r, 't> ObjectReader<'r, 't> {
    fn new(file: &'r mut SettingsFile<'t>, path: String, object: &'r Object<'t>) -> Self {
        let fields = unique_fields(file, &path, object);
        Self { file, path, range: object.range, fields, known_names: Vec::new() }
    }

    /// Reads the field `name`, or returns `default` if it is absent; a field without default is required.
    pub fn field<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        default: Option<T>,
    ) -> Option<T> {
        self.known_names.push(name);
        let Some(field) = self.find(name) else {
            if default.is_none() {
                self.add_missing_fault(name);
            }
            return default;
        };
        self.convert(name, &field.value)
    }

    /// Reads the section `name`; an absent section is read as an empty one.
    pub fn section<S: Section>(&mut self, name: &'static str) -> Option<S> {
        self.known_names.push(name);
        let path = format!("{}{name}.", self.path);
        match self.find(name).map(|field| &field.value) {
            Some(Value::Object(object)) => S::read(&mut ObjectReader::new(self.file, path, object)),
            Some(value) => {
                self.file
                    .add_fault(value.range(), format!("{}{name}: expected an object", self.path));
                None
            }
            None => {
                let empty = Object { range: self.range, properties: Vec::new() };
                S::read(&mut ObjectReader::new(self.file, path, &empty))
            }
        }
    }

    /// Reads the members of the object `name` as JSON, each with its span.
    pub fn members(&mut self, name: &'static str) -> Vec<ObjectMember> {
        self.known_names.push(name);
        let object = match self.find(name).map(|field| &field.value) {
            Some(Value::Object(object)) => object,
            Some(value) => {
                self.file.add_fault(value.range(), format!("{name}: expected an object"));
                return Vec::new();
            }
            None => return Vec::new(),
        };
        let mut members = Vec::new();
        for field in unique_fields(self.file, &format!("{name}."), object) {
            let span = Span { start: field.range.start, end: field.range.end };
            if let Some(value) = self.convert(name, &field.value) {
                members.push(ObjectMember { name: field.name.as_str().to_owned(), value, span });
            }
        }
        members
    }

    /// Reports an error at the span of a member from [`ObjectReader::members`].
    pub fn add_fault_at(&mut self, span: Span, text: String) {
        self.file.add_fault(Range { start: span.start, end: span.end }, text);
    }

    /// Reports an error at the field `name`, or at the whole object if the field is absent.
    pub fn add_fault(&mut self, name: &str, text: &str) {
        let range = self.find(name).map_or(self.range, |field| field.value.range());
        self.file.add_fault(range, format!("{}{name}: {text}", self.path));
    }

    /// Returns the string field `name` without marking it as read.
    pub fn peek_string(&mut self, name: &'static str) -> Option<String> {
        match self.find(name).map(|field| &field.value) {
            Some(Value::StringLit(text)) => Some(text.value.to_string()),
            Some(_) => {
                self.add_fault(name, "expected a string");
                None
            }
            None => {
                self.add_missing_fault(name);
                None
            }
        }
    }

    /// Reports every field that was not read; must be called after all reads.
    pub fn finish(&mut self) {
        for field in std::mem::take(&mut self.fields) {
            let name = field.name.as_str();
            if !self.known_names.contains(&name) {
                let names = self.known_names.join(", ");
                let text = format!("{}{name}: no such setting; expected one of {names}", self.path);
                // The span covers the name including its quotes.
                let end = field.range.start + name.len() + 2;
                let range = Range { start: field.range.start, end: end.min(field.range.end) };
                self.file.add_fault(range, text);
            }
        }
    }

    fn find(&self, name: &str) -> Option<&'r ObjectProp<'t>> {
        self.fields.iter().find(|field| field.name.as_str() == name).copied()
    }

    fn add_missing_fault(&mut self, name: &str) {
        let text = format!("{}{name} is missing and has no default", self.path);
        self.file.add_fault(self.range, text);
    }

    fn convert<T: DeserializeOwned>(&mut self, name: &str, value: &Value<'_>) -> Option<T> {
        let range = value.range();
        // The library converts only text to `serde_json`, so the value's source text is parsed again.
        let text = &self.file.text[range.start..range.end];
        let json: serde_json::Value = match parse_to_serde_value(text, &SYNTAX) {
            Ok(json) => json,
            Err(error) => {
                self.file.add_fault(range, format!("{}{name}: {error}", self.path));
                return None;
            }
        };
        match T::deserialize(json) {
            Ok(value) => Some(value),
            Err(error) => {
                self.file.add_fault(range, format!("{}{name}: {error}", self.path));
                None
            }
        }
    }
}

/// Returns the fields of `object` and reports duplicate names.
fn unique_fields<'r, 't>(
    file: &mut SettingsFile<'_>,
    path: &str,
    object: &'r Object<'t>,
) -> Vec<&'r ObjectProp<'t>> {
    let mut fields: Vec<&ObjectProp<'t>> = Vec::new();
    for field in &object.properties {
        let name = field.name.as_str();
        if fields.iter().any(|seen| seen.name.as_str() == name) {
            file.add_fault(field.range, format!("{path}{name} is given twice"));
            continue;
        }
        fields.push(field);
    }
    fields
}
