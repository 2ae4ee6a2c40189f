//! Text of prompts, made from their records.

use super::TraceRecord;

/// Bytes of prompt text that count as one token.
pub(crate) const TOKEN_BYTES: usize = 4;

const LETTERS: u64 = 26;

/// Mixes a value into a hash.
pub(crate) fn mix(previous: u64, value: u64) -> u64 {
    let mut state = previous ^ value.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// The prompt of a record. Blocks with equal keys have equal text; the rest after the last whole
/// block is of the request alone.
pub(crate) fn prompt(record: &TraceRecord, serial: usize, block_bytes: usize) -> String {
    let bytes = usize::try_from(record.prompt_tokens).unwrap_or(0) * TOKEN_BYTES;
    let mut text = String::with_capacity(bytes);
    for key in &record.blocks {
        let length = block_bytes.min(bytes - text.len());
        push_words(&mut text, *key, length);
    }
    let rest = bytes - text.len();
    push_words(&mut text, mix(u64::MAX, serial as u64), rest);
    text
}

/// Words of three letters and a space each.
fn push_words(text: &mut String, seed: u64, bytes: usize) {
    let mut state = seed;
    for _ in 0..bytes / TOKEN_BYTES {
        state = mix(state, 1);
        let mut bits = state >> 16;
        for _ in 1..TOKEN_BYTES {
            text.push(char::from(b'a' + u8::try_from(bits % LETTERS).unwrap_or_default()));
            bits /= LETTERS;
        }
        text.push(' ');
    }
}
