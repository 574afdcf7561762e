//! What a command needs of the outside.

/// The outside of a command.
#[derive(Debug)]
pub struct Context {}

impl Context {
    /// Makes the context of a real run.
    ///
    /// ```
    /// let context = sedgeridge_cli::context::Context::system();
    /// ```
    pub fn system() -> Self {
        Self {}
    }
}
