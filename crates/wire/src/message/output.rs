//! The message that carries a model's output, sent about once for each generated token.
//!
//! Its serde code is written by hand. It reads the fields in order only, because bincode stores no
//! field names. Unlike derived code, it needs no field names, no map form and no check for repeated
//! fields.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
};

const FIELD_COUNT: usize = 3;

/// A piece of a model's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The number of this output line within the attempt, counted from zero.
    pub seq: u64,
    /// The text.
    pub text: String,
    /// The number of tokens in the text.
    pub tokens: u32,
}

impl Serialize for Output {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
        tuple.serialize_element(&self.seq)?;
        tuple.serialize_element(self.text.as_str())?;
        tuple.serialize_element(&self.tokens)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Output {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, OutputVisitor)
    }
}

struct OutputVisitor;

impl<'de> Visitor<'de> for OutputVisitor {
    type Value = Output;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sequence number, text and token count")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Output, A::Error> {
        let missing = |index| A::Error::invalid_length(index, &"three fields");
        let seq = fields.next_element()?.ok_or_else(|| missing(0))?;
        let text = fields.next_element()?.ok_or_else(|| missing(1))?;
        let tokens = fields.next_element()?.ok_or_else(|| missing(2))?;
        Ok(Output { seq, text, tokens })
    }
}
