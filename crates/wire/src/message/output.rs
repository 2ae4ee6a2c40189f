//! The message that travels once for each generated token.
//!
//! Its visitor is written by hand: it takes its fields in order only, since bincode
//! names none, and so needs no field names, no map form and no check for repeats.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
};

const FIELDS: usize = 3;

/// A piece of the answer of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Counts the output lines of the attempt from zero.
    pub seq: u64,
    /// The text.
    pub text: String,
    /// Tokens in the text.
    pub tokens: u32,
}

impl Serialize for Output {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.seq)?;
        tuple.serialize_element(self.text.as_str())?;
        tuple.serialize_element(&self.tokens)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Output {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, OutputVisitor)
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
