//! The answer of one attempt as it grows, for followers that read it from any line on.

use std::collections::VecDeque;

use bytes::Bytes;
use samphirespread_wire::message::{Output, Reply, ServiceHead};

/// Lines at most that one read returns.
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
        /// Bytes before this piece.
        offset: u64,
        /// The piece.
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

/// What a reader finds at a line.
#[derive(Clone, Debug, PartialEq)]
pub enum Read {
    /// These lines come next.
    Lines(Vec<Reply>),
    /// Nothing yet.
    Pending,
    /// The answer ends here, with this reply.
    End(Reply),
    /// The line is no longer kept.
    Gone,
}

/// Lines of an answer and its end.
///
/// Lines that somebody has read are dropped once the journal holds more than its bound.
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
    /// An empty journal that keeps about `max_bytes` of lines.
    pub fn new(max_bytes: usize) -> Self {
        Self { lines: VecDeque::new(), first_seq: 0, read_seq: 0, bytes: 0, max_bytes, end: None }
    }

    /// The sequence number of the next line.
    pub fn next_seq(&self) -> u64 {
        self.first_seq + self.lines.len() as u64
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether the writer should wait until somebody has read more.
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

    /// Whether the answer has ended.
    pub fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Reads on from a line.
    pub fn read(&mut self, from_seq: u64) -> Read {
        let next_seq = self.next_seq();
        if from_seq < self.first_seq {
            return Read::Gone;
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
