//! How a worker handles requests and calls, as a test chooses.

/// How a worker handles one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers.
    Answer,
    /// Runs it and answers after a delay.
    AnswerAfterMs(u64),
    /// Refuses it without running it, and says so.
    Refuse,
    /// Refuses it without running it, after a delay.
    RefuseAfterMs(u64),
    /// Refuses it without running it, and asks for a pause.
    RefuseForMs(u64),
    /// Runs it and answers that the worker drains.
    AnswerLeaving,
    /// Runs it and answers with a failure.
    Fail,
    /// Runs it and closes the connection without an answer.
    BreakOff,
    /// Runs it and sends the answer to another request.
    AnswerAnother,
    /// Runs it and answers without a signature.
    AnswerUnsigned,
    /// Runs it and pauses that many milliseconds before each event.
    AnswerSlowly(u64),
    /// Runs it and cuts the stream after that many events, in the middle of the next one.
    CutStreamAfter(u64),
    /// Like [`CutStreamAfter`](Self::CutStreamAfter), with a pause of that many milliseconds before
    /// each event.
    CutSlowStreamAfter(u64, u64),
    /// Runs it and sends bytes that are no event and no end until the connection ends.
    Endless,
    /// Runs it and streams until a call that moves the run stops it.
    StreamUntilMoved,
    /// Like `StreamUntilMoved`, but the stream is whole after that many events.
    StreamUntilMovedOrWhole(u64),
}

/// How a worker handles one call to copy a run's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyBehaviour {
    /// Copies the memory, and stops the run if this is the last call.
    Copy,
    /// Answers that the destination has no room. The last call still stops the run and keeps its memory.
    NoRoom,
    /// Copies the memory, and loses the answer.
    LoseAnswer,
    /// Copies the memory and answers after that many milliseconds. The last call stops the run first.
    CopyAfterMs(u64),
    /// Stops the run. What it made last arrives only after a silence of that many milliseconds.
    CopyWithLateEvents(u64),
}

impl Behaviour {
    pub(super) fn runs(self) -> bool {
        !matches!(self, Self::Refuse | Self::RefuseAfterMs(_) | Self::RefuseForMs(_))
    }

    /// Whether the server itself ends the connection before its answer is whole.
    pub(super) fn breaks_off(self) -> bool {
        matches!(self, Self::BreakOff | Self::CutStreamAfter(_) | Self::Endless)
    }
}
