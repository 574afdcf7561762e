//! Deserializes values that must be JSON objects.
//!
//! A derived `Deserialize` also accepts a list of the fields in order. An endpoint that parses the
//! same body strictly would refuse it, or interpret it differently.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde::de::value::MapAccessDeserializer;

/// A value that was deserialized from an object.
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

/// Deserializes a list of objects.
pub(crate) fn deserialize_objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects: Vec<ObjectOnly<T>> = Vec::deserialize(deserializer)?;
    Ok(objects.into_iter().map(|object| object.0).collect())
}
