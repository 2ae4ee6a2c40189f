//! The text that the stand-in engine generates.
//!
//! The next word depends on all the text before it and on nothing else, so that a prompt with part
//! of its answer appended continues exactly as the first run would have.

/// Bytes of one word, its leading space included. One word is one token.
pub const WORD_BYTES: usize = 4;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const LETTERS: u64 = 26;

/// Generates the words after a prompt.
///
/// ```
/// use samphirespread_standin::text::{Continuation, answer};
///
/// let whole = answer("Once upon a time", 10);
/// let first = answer("Once upon a time", 4);
///
/// let mut rest = Continuation::new(&format!("Once upon a time{first}"));
/// assert_eq!(first + &rest.take_words(6), whole);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Continuation {
    hash: u64,
}

impl Continuation {
    /// Starts after a prompt.
    pub fn new(prompt: &str) -> Self {
        let mut continuation = Self { hash: FNV_OFFSET };
        continuation.absorb(prompt.as_bytes());
        continuation
    }

    /// The next word.
    pub fn next_word(&mut self) -> [u8; WORD_BYTES] {
        let mut word = [b' '; WORD_BYTES];
        // The low bits of the hash alone change little from one word to the next.
        let mut bits = (self.hash ^ (self.hash >> 32)) & u64::from(u32::MAX);
        for letter in &mut word[1..] {
            *letter = b'a' + u8::try_from(bits % LETTERS).unwrap_or_default();
            bits /= LETTERS;
        }
        self.absorb(&word);
        word
    }

    /// The next words as text.
    pub fn take_words(&mut self, count: usize) -> String {
        let words: Vec<[u8; WORD_BYTES]> = (0..count).map(|_| self.next_word()).collect();
        words.iter().map(word_text).collect()
    }

    fn absorb(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// The answer of a stand-in engine to a prompt.
pub fn answer(prompt: &str, tokens: usize) -> String {
    Continuation::new(prompt).take_words(tokens)
}

/// Tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(WORD_BYTES) as u64
}

pub(crate) fn word_text(word: &[u8; WORD_BYTES]) -> &str {
    std::str::from_utf8(word).unwrap_or_default()
}
