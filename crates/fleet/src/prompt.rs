//! What a request to a model engine asks for, in tokens.

/// Ratio of the cost of a generated token to that of a read one, as accounts are charged.
pub const GENERATED_TOKEN_COST: f64 = 2.0;

/// A run of prompt tokens that engines cache as one and that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The prompt of a request and the length of its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read, cached ones included.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// The prompt's parts in order. The last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the parts that other requests share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the length of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns the id by which the request is placed: that of its last shared part.
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

    /// Returns what the request takes from its account's share: tokens read and generated.
    pub fn charged_tokens(&self) -> f64 {
        let generated = f64::from(self.max_output_tokens) * GENERATED_TOKEN_COST;
        f64::from(self.prompt_tokens) + generated
    }
}
