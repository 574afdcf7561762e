//! Prompts of requests to model engines, measured in tokens.

/// Tokens that an account is charged for a generated token. A prompt token is charged as 1.
pub const GENERATED_TOKEN_COST: f64 = 2.0;

/// Consecutive prompt tokens that engines cache as a unit and that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Length of the part.
    pub tokens: u32,
}

/// The prompt of a request and the maximum length of its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read, cached ones included.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Parts of the prompt in order. The last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the parts that other requests share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns the id that determines the prompt's home endpoints: that of its last shared part, or of its last part if none
    /// is shared.
    ///
    /// ```
    /// use sedgeridge_fleet::prompt::{Prompt, PromptPart};
    ///
    /// let parts = vec![PromptPart { id: 7, tokens: 800 }, PromptPart { id: 9, tokens: 50 }];
    /// let prompt = Prompt { prompt_tokens: 850, max_output_tokens: 80, parts };
    /// assert_eq!(prompt.placement_key(), Some(7));
    /// ```
    pub fn placement_key(&self) -> Option<u64> {
        let shared = self.shared_parts().last();
        shared.or(self.parts.last()).map(|part| part.id)
    }

    /// Returns the tokens charged to the account: prompt tokens, and the maximum of generated tokens at their cost.
    pub fn charged_tokens(&self) -> f64 {
        let generated = f64::from(self.max_output_tokens) * GENERATED_TOKEN_COST;
        f64::from(self.prompt_tokens) + generated
    }
}
