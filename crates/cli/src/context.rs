//! Traits for the external services that commands use, so that tests can replace them.

use std::net::SocketAddr;
use std::time::Duration;

use sedgeridge_protocol::table::ReadAnswer;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use thiserror::Error;

/// External services and system functions that a command uses.
pub trait Context: TableClient + OperatorPages {
    /// Returns a new unique id for a change.
    fn new_change_id(&self) -> String;

    /// Sleeps for the duration.
    fn pause(&self, duration: Duration);

    /// Returns the name of the user who runs the command.
    fn author(&self) -> String;
}

/// Client of the platform's table service.
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

/// Client of the pages that routers serve to operators.
pub trait OperatorPages {
    /// Fetches a JSON page.
    fn fetch(&self, router: SocketAddr, path: &str) -> Result<String, PageError>;

    /// Sends JSON to a page.
    fn post(&self, router: SocketAddr, path: &str, body: &str) -> Result<(), PageError>;
}

/// Error of a call of the table service.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// The service did not run the call.
    #[error("the table service refused: {0}")]
    Refused(String),
    /// The answer is missing; a write may have taken effect.
    #[error("the table service gave no answer: {0}")]
    OutcomeUnknown(String),
}

/// Error of a request to an operator page.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct PageError(pub String);
