//! Buffers the answer of one attempt, so that followers can read it from any kept line while it
//! grows.

use std::collections::VecDeque;

use bytes::Bytes;
use samphirespread_wire::message::{Output, Reply, ServiceHead};

/// Maximum number of lines that one read returns.
const MAX_LINES_PER_READ: usize = 256;

/// One line of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// A piece of output of a model.
    Output(Output),
    /// The head of a plain service's answer.
    Head(ServiceHead),
    /// A piece of the body of a plain service's answer.
    Body {
        /// Offset of this piece in the body, in bytes.
        offset: u64,
        /// Content of the piece.
        bytes: Bytes,
    },
}

impl Line {
    fn cost_bytes(&self) -> usize {
        let overhead = size_of::<Self>();
        overhead
            + match self {
                Self::Output(output) => output.text.len(),
                Self::Head(head) => {
                    head.headers.iter().map(|pair| pair.name.len() + pair.value.len()).sum()
                }
                Self::Body { bytes, .. } => bytes.len(),
            }
    }

    fn reply(&self) -> Reply {
        match self {
            Self::Output(output) => Reply::Output(output.clone()),
            Self::Head(head) => Reply::ServiceHead(head.clone()),
            Self::Body { offset, bytes } => {
                Reply::ServiceBody { offset: *offset, bytes: bytes.clone() }
            }
        }
    }
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq)]
pub enum Read {
    /// These lines come next.
    Lines(Vec<Reply>),
    /// The line has not been written yet.
    Pending,
    /// The answer has no more lines and ends with this reply.
    End(Reply),
    /// The line is no longer kept.
    Dropped,
}

/// The lines of an answer and its end.
///
/// Once the journal holds more than `max_bytes`, it drops lines that a follower has read.
#[derive(Clone, Debug)]
pub struct Journal {
    lines: VecDeque<Line>,
    first_seq: u64,
    read_seq: u64,
    bytes: usize,
    max_bytes: usize,
    end: Option<Reply>,
}

impl Journal {
    /// Creates an empty journal that keeps about `max_bytes` of lines.
    pub fn new(max_bytes: usize) -> Self {
        Self { lines: VecDeque::new(), first_seq: 0, read_seq: 0, bytes: 0, max_bytes, end: None }
    }

    /// Returns the sequence number of the next line.
    pub fn next_seq(&self) -> u64 {
        self.first_seq + self.lines.len() as u64
    }

    /// Returns the size of the kept lines in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether the writer should wait until a follower has read more.
    pub fn is_full(&self) -> bool {
        self.bytes >= self.max_bytes && self.first_seq >= self.read_seq
    }

    /// Adds a line.
    ///
    /// # Panics
    ///
    /// Panics if the answer has ended.
    pub fn push(&mut self, line: Line) {
        assert!(self.end.is_none(), "no line follows the end of an answer");
        self.bytes += line.cost_bytes();
        self.lines.push_back(line);
        self.trim();
    }

    /// Ends the answer.
    ///
    /// # Panics
    ///
    /// Panics if the answer has ended.
    pub fn end(&mut self, reply: Reply) {
        assert!(self.end.is_none(), "an answer ends once");
        self.end = Some(reply);
    }

    /// Returns whether the answer has ended.
    pub fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Reads lines from sequence number `from_seq` on.
    pub fn read(&mut self, from_seq: u64) -> Read {
        let next_seq = self.next_seq();
        if from_seq < self.first_seq {
            return Read::Dropped;
        }
        if from_seq < next_seq {
            let skip = usize::try_from(from_seq - self.first_seq).unwrap_or(usize::MAX);
            let lines: Vec<Reply> =
                self.lines.iter().skip(skip).take(MAX_LINES_PER_READ).map(Line::reply).collect();
            self.read_seq = self.read_seq.max(from_seq + lines.len() as u64);
            self.trim();
            return Read::Lines(lines);
        }
        match &self.end {
            Some(end) => Read::End(end.clone()),
            None => Read::Pending,
        }
    }

    fn trim(&mut self) {
        while self.bytes > self.max_bytes && self.first_seq < self.read_seq {
            let Some(line) = self.lines.pop_front() else { return };
            self.bytes -= line.cost_bytes();
            self.first_seq += 1;
        }
    }
}
