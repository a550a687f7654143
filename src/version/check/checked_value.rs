//! Access to values that passed the schema check, in a text that may have problems elsewhere.

use serde_json::Value as Json;

/// A JSON value and its path; inner values that failed the schema check are absent.
#[derive(Clone)]
pub struct CheckedValue<'a> {
    pub path: String,
    json: &'a Json,
}

impl<'a> CheckedValue<'a> {
    /// The value of the whole text.
    pub fn root(json: &'a Json) -> Self {
        Self { path: String::new(), json }
    }

    pub fn field(&self, name: &str) -> Option<CheckedValue<'a>> {
        let json = self.json.get(name).filter(|json| !json.is_null())?;
        let separator = if self.path.is_empty() { "" } else { "." };
        Some(Self { path: format!("{}{separator}{name}", self.path), json })
    }

    /// The elements of an array field; empty if the field is absent.
    pub fn items(&self, name: &str) -> Vec<CheckedValue<'a>> {
        let Some(array) = self.field(name) else { return Vec::new() };
        let items = array.json.as_array().into_iter().flatten().enumerate();
        items.map(|(index, json)| Self { path: format!("{}[{index}]", array.path), json }).collect()
    }

    pub fn string(&self, name: &str) -> Option<&'a str> {
        self.json.get(name)?.as_str()
    }

    pub fn integer(&self, name: &str) -> Option<u64> {
        self.json.get(name)?.as_u64()
    }

    /// The strings of an array field.
    pub fn strings(&self, name: &str) -> Vec<&'a str> {
        let array = self.json.get(name).and_then(Json::as_array);
        array.into_iter().flatten().filter_map(Json::as_str).collect()
    }
}
