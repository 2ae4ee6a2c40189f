//! Steps that several failure tests share.

use samphirespread_standin::{
    caller::{Caller, Completion, CompletionAnswer, CompletionEvent, CompletionRequest},
    text,
};

use crate::{AgentNode, DEFAULT_MODEL, Fleet};

/// A request to the default model for so many tokens.
pub fn request(prompt: &str, tokens: u32) -> CompletionRequest {
    CompletionRequest::new(DEFAULT_MODEL, prompt, tokens)
}

/// A completion that has begun, with the text that came so far.
#[derive(Debug)]
pub struct Begun {
    request: CompletionRequest,
    completion: Completion,
    text: String,
}

impl Begun {
    /// Starts a request and reads some pieces of its answer.
    ///
    /// # Panics
    ///
    /// When they don't come.
    pub async fn start(caller: &Caller, request: &CompletionRequest, pieces: usize) -> Self {
        let completion = caller.start(request).await.expect("the router answers");
        let mut begun = Self { request: request.clone(), completion, text: String::new() };
        for _ in 0..pieces {
            match begun.completion.next().await {
                Ok(Some(CompletionEvent::Text(text))) => begun.text += &text,
                other => panic!("the stream doesn't begin: {other:?}"),
            }
        }
        begun
    }

    /// Reads the rest. The text is that of the whole answer.
    pub async fn finish(mut self) -> CompletionAnswer {
        let rest = self.completion.collect().await;
        CompletionAnswer { text: self.text + &rest.text, ..rest }
    }

    /// Reads the rest, which must make the whole answer, byte for byte.
    ///
    /// # Panics
    ///
    /// When it doesn't.
    pub async fn finish_whole(self) {
        let (prompt, tokens) = (self.request.prompt.clone(), self.request.max_tokens);
        let answer = self.finish().await;
        assert_whole(&answer, &prompt, tokens);
    }
}

/// An answer must be complete, in order and the prompt's own.
///
/// # Panics
///
/// When it isn't.
pub fn assert_whole(answer: &CompletionAnswer, prompt: &str, tokens: u32) {
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text, text::answer(prompt, tokens as usize));
}

/// The index of an agent whose engine runs something.
///
/// # Panics
///
/// When there is none.
pub fn busy_agent(fleet: &Fleet) -> usize {
    let busy = |agent: &AgentNode| agent.engine.load().running > 0;
    fleet.agents.iter().position(busy).expect("an engine runs something")
}
