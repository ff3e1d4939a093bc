//! Lists and maps of a message of which an item that cannot be read hides only itself.
//!
//! A daemon of another build may pass on what this one cannot read, and what it passes on may come
//! from an unreadable entry of the store. Which items these are is kept: the sender has them, so what
//! they name is not gone.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::DeserializeOwned},
    serde_json::value::RawValue,
    std::collections::BTreeMap,
};

/// An item that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableItem {
    /// Its id or name, if that can be read.
    pub id: Option<String>,
    /// Why it cannot be read.
    pub problem: String,
}

/// A list as it was read.
///
/// ```
/// use rattanturn_wire::items::Items;
/// let list: Items<u8> = serde_json::from_str(r#"[1, {"id": "a"}, 2]"#).unwrap();
/// assert_eq!(list.readable, [1, 2]);
/// assert_eq!(list.unreadable[0].id.as_deref(), Some("a"));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Items<T> {
    /// The items that can be read.
    pub readable: Vec<T>,
    /// The others; they are not passed on.
    pub unreadable: Vec<UnreadableItem>,
}

impl<T> Default for Items<T> {
    fn default() -> Self {
        Self::from(Vec::new())
    }
}

impl<T> From<Vec<T>> for Items<T> {
    fn from(readable: Vec<T>) -> Self {
        let unreadable = Vec::new();
        Self {
            readable,
            unreadable,
        }
    }
}

impl<T: Serialize> Serialize for Items<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.readable.serialize(serializer)
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Items<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut out = Self::default();
        for raw in Vec::<&RawValue>::deserialize(deserializer)? {
            match serde_json::from_str(raw.get()) {
                Ok(item) => out.readable.push(item),
                Err(error) => out.unreadable.push(UnreadableItem {
                    id: id_of(raw),
                    problem: error.to_string(),
                }),
            }
        }
        Ok(out)
    }
}

/// A map as it was read.
///
/// ```
/// use rattanturn_wire::items::Values;
/// let map: Values<f64> = serde_json::from_str(r#"{"a": 1.5, "b": "x"}"#).unwrap();
/// assert_eq!(map.readable["a"], 1.5);
/// assert_eq!(map.unreadable[0].id.as_deref(), Some("b"));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Values<T> {
    /// The values that can be read.
    pub readable: BTreeMap<String, T>,
    /// The others; they are not passed on.
    pub unreadable: Vec<UnreadableItem>,
}

impl<T> From<BTreeMap<String, T>> for Values<T> {
    fn from(readable: BTreeMap<String, T>) -> Self {
        let unreadable = Vec::new();
        Self {
            readable,
            unreadable,
        }
    }
}

impl<T: Serialize> Serialize for Values<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.readable.serialize(serializer)
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Values<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut out = Self::from(BTreeMap::new());
        for (name, raw) in BTreeMap::<String, &RawValue>::deserialize(deserializer)? {
            match serde_json::from_str(raw.get()) {
                Ok(value) => {
                    out.readable.insert(name, value);
                }
                Err(error) => out.unreadable.push(UnreadableItem {
                    id: Some(name),
                    problem: error.to_string(),
                }),
            }
        }
        Ok(out)
    }
}

/// Fields by which an item is known; all others are skipped, however they are nested.
#[derive(Deserialize)]
struct Named {
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    name: Option<String>,
}

/// Id or name of an item.
fn id_of(raw: &RawValue) -> Option<String> {
    let named: Named = serde_json::from_str(raw.get()).ok()?;
    named.id.or(named.name)
}
