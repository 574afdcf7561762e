//! `objects`: the platform's object store, in memory.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;

use sedgeridge_protocol::platform::OBJECTS_PATH;
use sedgeridge_protocol::platform::ObjectList;

use crate::configs::platform::TableConfig;
use crate::rate_limit::RateLimit;
use crate::refusal::Refusal;
use crate::refusal::permit;
use crate::reply;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::RunningServer;
use crate::server::Service;
use crate::server::SharedState;

const PREFIX_QUERY: &str = "prefix=";

/// Starts the stand-in.
///
/// ```
/// use sedgeridge_standins::configs::platform::TableConfig;
///
/// let objects = sedgeridge_standins::objects::spawn(TableConfig::default())?;
/// assert_ne!(objects.address().port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn spawn(config: TableConfig) -> io::Result<RunningServer> {
    server::spawn(config.listen, move |shared| {
        Ok(Objects::new(&config, shared))
    })
}

#[derive(Debug)]
struct Objects {
    shared: Rc<SharedState>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    writes: RefCell<RateLimit>,
    reads: RefCell<RateLimit>,
}

impl Objects {
    fn new(config: &TableConfig, shared: Rc<SharedState>) -> Self {
        Self {
            shared,
            objects: RefCell::default(),
            writes: RefCell::new(RateLimit::new(config.writes_per_s)),
            reads: RefCell::new(RateLimit::new(config.reads_per_s)),
        }
    }

    fn list(&self, query: &str) -> Result<Reply, Refusal> {
        permit(&self.reads, &self.shared)?;
        let prefix = query.strip_prefix(PREFIX_QUERY).unwrap_or("");
        let objects = self.objects.borrow();
        let keys = objects
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect();
        Ok(reply::json(StatusCode::OK, &ObjectList { keys }))
    }

    fn get(&self, key: &str) -> Result<Reply, Refusal> {
        permit(&self.reads, &self.shared)?;
        let objects = self.objects.borrow();
        let object = objects.get(key).ok_or(Refusal::NotFound)?.clone();
        let content_type = "application/octet-stream";
        Ok(reply::whole(StatusCode::OK, content_type, object))
    }

    fn put(&self, key: &str, object: Bytes) -> Result<Reply, Refusal> {
        permit(&self.writes, &self.shared)?;
        self.objects.borrow_mut().insert(key.to_owned(), object);
        Ok(reply::text(StatusCode::OK, "stored"))
    }

    fn delete(&self, key: &str) -> Result<Reply, Refusal> {
        permit(&self.writes, &self.shared)?;
        self.objects.borrow_mut().remove(key);
        Ok(reply::text(StatusCode::OK, "deleted"))
    }
}

impl Service for Objects {
    async fn call(&self, call: &Call) -> Reply {
        let key = call
            .path
            .strip_prefix(OBJECTS_PATH)
            .map(|rest| rest.trim_start_matches('/'));
        let answer = match (&call.method, key) {
            (&Method::GET, Some("")) => self.list(&call.query),
            (&Method::GET, Some(key)) => self.get(key),
            (&Method::PUT, Some(key)) if !key.is_empty() => self.put(key, call.body.clone()),
            (&Method::DELETE, Some(key)) if !key.is_empty() => self.delete(key),
            _ => Err(Refusal::NotFound),
        };
        answer.unwrap_or_else(Reply::from)
    }
}
