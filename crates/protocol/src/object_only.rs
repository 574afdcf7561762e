//! Reads values that must be JSON objects.
//!
//! A derived `Deserialize` also takes a list with the fields in order. An endpoint that reads the
//! same body by the book would refuse it, or take it for something else.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde::de::value::MapAccessDeserializer;

/// A value that was an object.
pub(crate) struct ObjectOnly<T>(pub(crate) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for ObjectOnly<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = ObjectOnly<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<M: MapAccess<'de>>(self, map: M) -> Result<Self::Value, M::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(ObjectOnly)
    }
}

/// Reads a list of objects.
pub(crate) fn objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects: Vec<ObjectOnly<T>> = Vec::deserialize(deserializer)?;
    Ok(objects.into_iter().map(|object| object.0).collect())
}
