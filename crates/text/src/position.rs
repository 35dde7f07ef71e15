//! Positions of items and fields in the source.

use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue};

/// Finds the byte offsets of items and fields. An absent item or field, whose default applies, has
/// the offset of the closest table around it that is present.
#[derive(Debug)]
pub(crate) struct Positions<'t, 'i> {
    root: &'t DeTable<'i>,
}

impl<'t, 'i> Positions<'t, 'i> {
    /// Finds positions in the source that `root` was parsed from.
    pub(crate) fn new(root: &'t DeTable<'i>) -> Self {
        Self { root }
    }

    /// Returns the offset of a top-level field.
    pub(crate) fn top(&self, field: &str) -> usize {
        self.root.get(field).map_or(0, start)
    }

    /// Returns the offset of a field of a top-level table.
    pub(crate) fn sub(&self, section: &str, field: &str) -> usize {
        let table = self.root.get(section);
        table
            .and_then(|table| table.get_ref().get(field))
            .or(table)
            .map_or(0, start)
    }

    /// Returns the offset of the item at `index` of a section.
    pub(crate) fn item(&self, section: &str, index: usize) -> usize {
        self.find_item(section, index)
            .map_or_else(|| self.top(section), start)
    }

    /// Returns the offset of a field of the item at `index` of a section.
    pub(crate) fn field(&self, section: &str, index: usize, field: &str) -> usize {
        self.find_field(section, index, field)
            .map_or_else(|| self.item(section, index), start)
    }

    /// Returns the offset of the element at `element` in an array field of an item.
    pub(crate) fn element(
        &self,
        section: &str,
        index: usize,
        field: &str,
        element: usize,
    ) -> usize {
        self.find_field(section, index, field)
            .and_then(|value| value.get_ref().as_array())
            .and_then(|array: &DeArray<'i>| array.get(element))
            .map_or_else(|| self.field(section, index, field), start)
    }

    /// Returns the number of elements of an array field of an item, or `None` if the field is
    /// absent or not an array.
    pub(crate) fn length(&self, section: &str, index: usize, field: &str) -> Option<usize> {
        let value = self.find_field(section, index, field)?;
        value.get_ref().as_array().map(|array| array.len())
    }

    fn find_item(&self, section: &str, index: usize) -> Option<&'t Spanned<DeValue<'i>>> {
        self.root.get(section)?.get_ref().as_array()?.get(index)
    }

    fn find_field(
        &self,
        section: &str,
        index: usize,
        field: &str,
    ) -> Option<&'t Spanned<DeValue<'i>>> {
        self.find_item(section, index)?.get_ref().get(field)
    }
}

fn start(value: &Spanned<DeValue<'_>>) -> usize {
    value.span().start
}
