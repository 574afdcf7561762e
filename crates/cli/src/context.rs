//! What a command needs of the outside, as traits, so that tests replace it.

use std::net::SocketAddr;
use std::time::Duration;

use sedgeridge_protocol::table::ReadAnswer;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use thiserror::Error;

/// The outside of a command.
pub trait Context: TableClient + OperatorPages {
    /// Makes a name for a change that no other change has.
    fn new_change_id(&self) -> String;

    /// Waits.
    fn pause(&self, duration: Duration);

    /// Names who runs the command.
    fn author(&self) -> String;
}

/// Calls of the platform's table service.
pub trait TableClient {
    /// Runs a transaction.
    fn transact(
        &self,
        table: SocketAddr,
        transact: &TransactRequest,
    ) -> Result<TransactAnswer, TableError>;

    /// Reads rows.
    fn read(&self, table: SocketAddr, read: &ReadRequest) -> Result<ReadAnswer, TableError>;
}

/// Pages that routers serve to operators.
pub trait OperatorPages {
    /// Fetches a page of JSON.
    fn fetch(&self, router: SocketAddr, path: &str) -> Result<String, FetchError>;

    /// Sends JSON to a page.
    fn post(&self, router: SocketAddr, path: &str, body: &str) -> Result<(), FetchError>;
}

/// A call of the table service that gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// The service did not run the call.
    #[error("the table service refused: {0}")]
    Refused(String),
    /// The answer is missing; a write may have taken effect.
    #[error("the table service gave no answer: {0}")]
    Unknown(String),
}

/// A page that could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct FetchError(pub String);
