//! A part of a text that may have problems elsewhere.

use serde_json::Value as Json;

/// A value and its path; values that were refused are absent.
#[derive(Clone)]
pub struct Part<'a> {
    pub path: String,
    json: &'a Json,
}

impl<'a> Part<'a> {
    /// The whole text.
    pub fn root(json: &'a Json) -> Self {
        Self { path: String::new(), json }
    }

    /// A field of an object.
    pub fn field(&self, name: &str) -> Option<Part<'a>> {
        let json = self.json.get(name).filter(|json| !json.is_null())?;
        let separator = if self.path.is_empty() { "" } else { "." };
        Some(Self { path: format!("{}{separator}{name}", self.path), json })
    }

    /// The items of a list in a field.
    pub fn items(&self, name: &str) -> Vec<Part<'a>> {
        let Some(list) = self.field(name) else { return Vec::new() };
        let items = list.json.as_array().into_iter().flatten().enumerate();
        items.map(|(index, json)| Self { path: format!("{}[{index}]", list.path), json }).collect()
    }

    /// The text in a field.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.json.get(name)?.as_str()
    }

    /// The number in a field.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.json.get(name)?.as_u64()
    }

    /// The texts of a list in a field.
    pub fn texts(&self, name: &str) -> Vec<&'a str> {
        let list = self.json.get(name).and_then(Json::as_array);
        list.into_iter().flatten().filter_map(Json::as_str).collect()
    }
}
