//! Reads a table field by field, so that every invalid field is reported.

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::nearest;
use crate::problem::Findings;
use crate::schema::Section;

/// A table of the source that is being read.
#[derive(Debug)]
pub(crate) struct Table<'t, 'i> {
    section: &'static Section,
    values: &'t DeTable<'i>,
    offset: usize,
    findings: &'t mut Findings,
}

impl<'t, 'i> Table<'t, 'i> {
    /// Wraps a table that starts at `offset` and reports its fields that `section` does not define.
    pub(crate) fn new(
        section: &'static Section,
        values: &'t DeTable<'i>,
        offset: usize,
        findings: &'t mut Findings,
    ) -> Self {
        let table = Self {
            section,
            values,
            offset,
            findings,
        };
        table.report_unknown()
    }

    fn report_unknown(self) -> Self {
        for key in self.values.keys() {
            let name: &str = key.get_ref();
            let known = self.section.fields.iter().map(|field| field.name);
            if !known.clone().any(|field| field == name) {
                self.findings.push(
                    key.span().start,
                    format!("unknown field \"{name}\"{}", self.section_suffix()),
                    nearest::hint(name, known),
                );
            }
        }
        self
    }

    fn section_suffix(&self) -> String {
        match self.section.name {
            "" => String::new(),
            name => format!(" in {name}"),
        }
    }

    /// Reads a required field. Returns `None` after reporting a field that is missing or invalid.
    pub(crate) fn required<T: DeserializeOwned>(&mut self, name: &'static str) -> Option<T> {
        if self.values.contains_key(name) {
            return self.optional(name);
        }
        self.report_missing(name);
        None
    }

    /// Reads an optional field. Returns `None` if it is absent, or invalid and reported.
    pub(crate) fn optional<T: DeserializeOwned>(&mut self, name: &'static str) -> Option<T> {
        let value = self.values.get(name)?;
        self.value(name, value)
    }

    /// Reads a required array, element by element.
    pub(crate) fn required_list<T: DeserializeOwned>(&mut self, name: &'static str) -> Vec<T> {
        if !self.values.contains_key(name) {
            self.report_missing(name);
        }
        self.list(name)
    }

    /// Reads an optional array, element by element. An absent array counts as empty.
    pub(crate) fn list<T: DeserializeOwned>(&mut self, name: &'static str) -> Vec<T> {
        let Some(value) = self.values.get(name) else {
            return Vec::new();
        };
        let DeValue::Array(elements) = value.get_ref() else {
            self.report_wrong_type(name, value, "an array");
            return Vec::new();
        };
        elements
            .iter()
            .filter_map(|element| self.value(name, element))
            .collect()
    }

    /// Reads an array of tables. Every element yields an item, even one that could not be read, so
    /// that indices in the model match those in the source.
    pub(crate) fn sections<T>(
        &mut self,
        section: &'static Section,
        mut read: impl FnMut(&mut Table<'_, '_>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.values.get(section.name) else {
            return Vec::new();
        };
        let DeValue::Array(elements) = value.get_ref() else {
            self.report_wrong_type(section.name, value, "an array of tables");
            return Vec::new();
        };
        let mut items = Vec::with_capacity(elements.len());
        for element in elements {
            items.push(self.section(section, element, &mut read));
        }
        items
    }

    /// Reads an optional table.
    pub(crate) fn subtable<T>(
        &mut self,
        section: &'static Section,
        mut read: impl FnMut(&mut Table<'_, '_>) -> T,
    ) -> Option<T> {
        let value = self.values.get(section.name)?;
        Some(self.section(section, value, &mut read))
    }

    fn section<T>(
        &mut self,
        section: &'static Section,
        value: &Spanned<DeValue<'_>>,
        read: &mut impl FnMut(&mut Table<'_, '_>) -> T,
    ) -> T {
        let offset = value.span().start;
        if let DeValue::Table(table) = value.get_ref() {
            return read(&mut Table::new(section, table, offset, self.findings));
        }
        self.report_wrong_type(section.name, value, "a table");
        let mut ignored = Findings::default();
        read(&mut Table::new(
            section,
            &DeTable::new(),
            offset,
            &mut ignored,
        ))
    }

    /// Reports a missing required field.
    pub(crate) fn report_missing(&mut self, name: &'static str) {
        let message = format!("missing field \"{name}\"{}", self.section_suffix());
        let hint = format!("such as {name} = {}", self.section.example(name));
        self.findings.push(self.offset, message, hint);
    }

    /// Returns whether the field `name` is present in the source.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    fn report_wrong_type(
        &mut self,
        name: &'static str,
        value: &Spanned<DeValue<'_>>,
        expected: &'static str,
    ) {
        let message = format!("\"{name}\"{} is not {expected}", self.section_suffix());
        let hint = match self.section.name {
            "" => format!("such as [[{name}]]"),
            _ => format!("such as {name} = {}", self.section.example(name)),
        };
        self.findings.push(value.span().start, message, hint);
    }

    fn value<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        value: &Spanned<DeValue<'i>>,
    ) -> Option<T> {
        match T::deserialize(ValueDeserializer::from(value.clone())) {
            Ok(value) => Some(value),
            Err(error) => {
                let message = format!("\"{name}\"{}: {}", self.section_suffix(), error.message());
                let hint = format!("such as {name} = {}", self.section.example(name));
                self.findings.push(value.span().start, message, hint);
                None
            }
        }
    }
}
