//! Reads typed fields from a parsed file and collects faults instead of stopping at the first.

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

/// JSON with comments and nothing looser, so that other tools read the files too.
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

/// The file that is being read and the faults found so far.
struct File<'t> {
    name: &'t str,
    text: &'t str,
    faults: Vec<Fault>,
}

impl File<'_> {
    fn fault(&mut self, range: Range, text: String) {
        self.faults.push(Fault::new(self.name, self.text, range.start, range.end, text));
    }
}

/// One object of the file; fields are taken from it by name.
pub struct ObjectReader<'r, 't> {
    file: &'r mut File<'t>,
    path: String,
    range: Range,
    fields: Vec<&'r ObjectProp<'t>>,
    known: Vec<&'static str>,
}

/// One member of an object whose names are free, for rows that are checked elsewhere.
#[derive(Debug, Clone)]
pub struct Member {
    /// The member's name.
    pub name: String,
    /// Its value as JSON.
    pub value: serde_json::Value,
    /// Where it stands in the file.
    pub place: Place,
}

/// A piece of the file, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    start: usize,
    end: usize,
}

pub(crate) fn read_root<S>(
    name: &str,
    text: &str,
    read: impl FnOnce(&mut ObjectReader<'_, '_>) -> Option<S>,
) -> Result<S, SettingsError> {
    let mut file = File { name, text, faults: Vec::new() };
    let settings = match parse_to_ast(text, &CollectOptions::default(), &SYNTAX) {
        Ok(parsed) => match parsed.value {
            Some(Value::Object(object)) => {
                let mut reader = ObjectReader::new(&mut file, String::new(), &object);
                read(&mut reader)
            }
            _ => {
                let range = Range { start: 0, end: text.len() };
                file.fault(range, "expected an object".to_owned());
                None
            }
        },
        Err(error) => {
            file.fault(error.range(), error.kind().to_string());
            None
        }
    };
    match settings {
        Some(settings) if file.faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::Faulty { name: name.to_owned(), faults: file.faults }),
    }
}

impl<'r, 't> ObjectReader<'r, 't> {
    fn new(file: &'r mut File<'t>, path: String, object: &'r Object<'t>) -> Self {
        let fields = unique_fields(file, &path, object);
        Self { file, path, range: object.range, fields, known: Vec::new() }
    }

    /// Takes the field `name`, or `default` where the file has none; no default makes it required.
    pub fn field<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        default: Option<T>,
    ) -> Option<T> {
        self.known.push(name);
        let Some(field) = self.find(name) else {
            if default.is_none() {
                self.missing(name);
            }
            return default;
        };
        self.convert(name, &field.value)
    }

    /// Takes the section `name`; an absent section is read as an empty one.
    pub fn section<S: Section>(&mut self, name: &'static str) -> Option<S> {
        self.known.push(name);
        let path = format!("{}{name}.", self.path);
        match self.find(name).map(|field| &field.value) {
            Some(Value::Object(object)) => S::read(&mut ObjectReader::new(self.file, path, object)),
            Some(value) => {
                self.file.fault(value.range(), format!("{}{name}: expected an object", self.path));
                None
            }
            None => {
                let empty = Object { range: self.range, properties: Vec::new() };
                S::read(&mut ObjectReader::new(self.file, path, &empty))
            }
        }
    }

    /// Takes the members of the object `name` as JSON, each with its place.
    pub fn members(&mut self, name: &'static str) -> Vec<Member> {
        self.known.push(name);
        let object = match self.find(name).map(|field| &field.value) {
            Some(Value::Object(object)) => object,
            Some(value) => {
                self.file.fault(value.range(), format!("{name}: expected an object"));
                return Vec::new();
            }
            None => return Vec::new(),
        };
        let mut members = Vec::new();
        for field in unique_fields(self.file, &format!("{name}."), object) {
            let place = Place { start: field.range.start, end: field.range.end };
            if let Some(value) = self.convert(name, &field.value) {
                members.push(Member { name: field.name.as_str().to_owned(), value, place });
            }
        }
        members
    }

    /// Reports a fault at a place that [`ObjectReader::members`] gave.
    pub fn fault_at(&mut self, place: Place, text: String) {
        self.file.fault(Range { start: place.start, end: place.end }, text);
    }

    /// Reports a fault of the field `name`, or of the whole object where it is absent.
    pub fn fault(&mut self, name: &str, text: &str) {
        let range = self.find(name).map_or(self.range, |field| field.value.range());
        self.file.fault(range, format!("{}{name}: {text}", self.path));
    }

    /// Looks at the text of the field `name` without taking it.
    pub fn peek_text(&mut self, name: &'static str) -> Option<String> {
        match self.find(name).map(|field| &field.value) {
            Some(Value::StringLit(text)) => Some(text.value.to_string()),
            Some(_) => {
                self.fault(name, "expected a string");
                None
            }
            None => {
                self.missing(name);
                None
            }
        }
    }

    /// Reports every field that was not taken; to be called once all fields are.
    pub fn finish(&mut self) {
        for field in std::mem::take(&mut self.fields) {
            let name = field.name.as_str();
            if !self.known.contains(&name) {
                let known = self.known.join(", ");
                let text = format!("{}{name}: no such setting; here are {known}", self.path);
                // The label belongs under the name, which ends where its quotes do.
                let end = field.range.start + name.len() + 2;
                let range = Range { start: field.range.start, end: end.min(field.range.end) };
                self.file.fault(range, text);
            }
        }
    }

    fn find(&self, name: &str) -> Option<&'r ObjectProp<'t>> {
        self.fields.iter().find(|field| field.name.as_str() == name).copied()
    }

    fn missing(&mut self, name: &str) {
        let text = format!("{}{name} is missing and has no default", self.path);
        self.file.fault(self.range, text);
    }

    fn convert<T: DeserializeOwned>(&mut self, name: &str, value: &Value<'_>) -> Option<T> {
        let range = value.range();
        // The library converts text only, so the value's own piece of the file is parsed again.
        let text = &self.file.text[range.start..range.end];
        let json: serde_json::Value = match parse_to_serde_value(text, &SYNTAX) {
            Ok(json) => json,
            Err(error) => {
                self.file.fault(range, format!("{}{name}: {error}", self.path));
                return None;
            }
        };
        match T::deserialize(json) {
            Ok(value) => Some(value),
            Err(error) => {
                self.file.fault(range, format!("{}{name}: {error}", self.path));
                None
            }
        }
    }
}

/// Returns the fields of `object`, reporting each name that is given twice.
fn unique_fields<'r, 't>(
    file: &mut File<'_>,
    path: &str,
    object: &'r Object<'t>,
) -> Vec<&'r ObjectProp<'t>> {
    let mut fields: Vec<&ObjectProp<'t>> = Vec::new();
    for field in &object.properties {
        let name = field.name.as_str();
        if fields.iter().any(|seen| seen.name.as_str() == name) {
            file.fault(field.range, format!("{path}{name} is given twice"));
            continue;
        }
        fields.push(field);
    }
    fields
}
