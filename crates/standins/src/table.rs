//! `table`: the platform's transactional table service, in memory.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use hyper::Method;
use hyper::StatusCode;

use sedgeridge_protocol::table::READ_PATH;
use sedgeridge_protocol::table::TRANSACT_PATH;

use crate::configs::platform::TableConfig;
use crate::rate_limit::RateLimit;
use crate::refusal::Refusal;
use crate::refusal::parse;
use crate::refusal::permit;
use crate::reply;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::RunningServer;
use crate::server::Service;
use crate::server::SharedState;
use crate::table_store::TableStore;

/// Starts the stand-in.
///
/// ```
/// use sedgeridge_standins::configs::platform::TableConfig;
///
/// let table = sedgeridge_standins::table::spawn(TableConfig::default())?;
/// assert_ne!(table.address().port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn spawn(config: TableConfig) -> io::Result<RunningServer> {
    server::spawn(config.listen, move |shared| Ok(Table::new(&config, shared)))
}

#[derive(Debug)]
struct Table {
    shared: Rc<SharedState>,
    store: RefCell<TableStore>,
    writes: RefCell<RateLimit>,
    reads: RefCell<RateLimit>,
}

impl Table {
    fn new(config: &TableConfig, shared: Rc<SharedState>) -> Self {
        Self {
            shared,
            store: RefCell::default(),
            writes: RefCell::new(RateLimit::new(config.writes_per_s)),
            reads: RefCell::new(RateLimit::new(config.reads_per_s)),
        }
    }

    fn transact(&self, call: &Call) -> Result<Reply, Refusal> {
        let transact = parse(call)?;
        let now = self.shared.now();
        permit(&self.writes, &self.shared)?;
        let answer = self.store.borrow_mut().transact(now, transact);
        Ok(reply::json(StatusCode::OK, &answer))
    }

    fn read(&self, call: &Call) -> Result<Reply, Refusal> {
        let read = parse(call)?;
        permit(&self.reads, &self.shared)?;
        let store = self.store.borrow();
        let answer = if call.plan.read_age.is_zero() {
            store.read(&read)
        } else {
            let at = self.shared.now().saturating_sub(call.plan.read_age);
            store.read_as_of(at, &read)
        };
        Ok(reply::json(StatusCode::OK, &answer))
    }
}

impl Service for Table {
    async fn call(&self, call: &Call) -> Reply {
        let answer = match (&call.method, call.path.as_str()) {
            (&Method::POST, TRANSACT_PATH) => self.transact(call),
            (&Method::POST, READ_PATH) => self.read(call),
            _ => Err(Refusal::NotFound),
        };
        answer.unwrap_or_else(Reply::from)
    }
}
