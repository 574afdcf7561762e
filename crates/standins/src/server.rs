//! The HTTP server of all stand-ins, with fault injection.
//!
//! It runs on one thread. It uses hyper instead of tiny_http, because tiny_http can neither close a
//! connection on order nor detect that a caller has disconnected, and in a burst of new connections
//! it leaves some of them without a thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::control;
use crate::control::CONTROL_PATH;
use crate::faults::FaultPlan;
use crate::faults::Faults;
use crate::link::Link;
use crate::link::LinkStream;
use crate::reply;
use crate::reply::Reply;
use crate::reply::ReplyBody;

/// Exit code of a process that a `crash` order ends.
pub const CRASH_EXIT_CODE: i32 = 70;
/// Pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// One call to a stand-in.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query without its question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Handle of the connection that the call came on.
    pub link: Rc<Link>,
    /// Faults to inject into this call.
    pub plan: FaultPlan,
}

impl Call {
    /// The text of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The number in a header; `None` if it is absent or not a number.
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }
}

/// The behaviour of a stand-in.
pub trait Service: 'static {
    /// Answers a call.
    fn call(&self, call: &Call) -> impl Future<Output = Reply>;

    /// Handles a body sent to `/control`; `None` passes the call on to the common fault orders.
    fn control(&self, _body: &[u8]) -> Option<Reply> {
        None
    }

    /// Records the crash that this call causes; the process exits right afterwards.
    fn crash(&self, _call: &Call) {}
}

/// State that all parts of one stand-in share.
#[derive(Debug)]
pub struct SharedState {
    started_at: Instant,
    /// Fault orders in force.
    pub faults: RefCell<Faults>,
    links: RefCell<Vec<Weak<Link>>>,
    is_refusing: Cell<bool>,
    is_crashing: Cell<bool>,
}

impl SharedState {
    fn new() -> Self {
        Self {
            started_at: Instant::now(),
            faults: RefCell::default(),
            links: RefCell::default(),
            is_refusing: Cell::new(false),
            is_crashing: Cell::new(false),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The instant at a time since the start, for timers.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started_at + at)
    }

    /// Returns the open connections except the given one.
    pub fn other_links(&self, own: &Rc<Link>) -> Vec<Rc<Link>> {
        self.links
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|link| !Rc::ptr_eq(link, own))
            .collect()
    }

    /// Closes new connections at once, as if nothing listened, or accepts them again.
    pub fn refuse_connections(&self, is_refusing: bool) {
        self.is_refusing.set(is_refusing);
    }

    fn add_link(&self) -> Rc<Link> {
        let link = Rc::new(Link::default());
        let mut links = self.links.borrow_mut();
        links.retain(|link| link.strong_count() > 0);
        links.push(Rc::downgrade(&link));
        link
    }
}

/// A stand-in that runs on its own thread and stops when this value is dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL of a path on it.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("the thread of a stand-in panicked");
        }
    }
}

/// Starts a stand-in on its own thread, which also runs `build`.
pub fn spawn<S, B>(listen: SocketAddr, build: B) -> io::Result<RunningServer>
where
    S: Service,
    B: FnOnce(Rc<SharedState>) -> io::Result<S> + Send + 'static,
{
    let (stop, stopped) = oneshot::channel();
    let (started, start) = mpsc::channel();
    let thread = thread::Builder::new()
        .name("standin".into())
        .spawn(move || {
            let failed = started.clone();
            if let Err(error) = block_on(serve_until(stopped, listen, build, started)) {
                // `spawn` still waits for this; there are no errors after the start.
                let _ = failed.send(Err(error));
            }
        })?;
    let address = start
        .recv()
        .map_err(|_| io::Error::other("the stand-in ended before it was ready"))??;
    Ok(RunningServer {
        address,
        stop: Some(stop),
        thread: Some(thread),
    })
}

async fn serve_until<S, B>(
    stopped: oneshot::Receiver<()>,
    listen: SocketAddr,
    build: B,
    started: mpsc::Sender<io::Result<SocketAddr>>,
) -> io::Result<()>
where
    S: Service,
    B: FnOnce(Rc<SharedState>) -> io::Result<S>,
{
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let shared = Rc::new(SharedState::new());
    let service = Rc::new(build(Rc::clone(&shared))?);
    let accepting = spawn_local(accept(listener, shared, service));
    // `spawn` waits for this message.
    let _ = started.send(Ok(address));
    // Dropping the handle drops the sender, which ends this wait with an error.
    let _ = stopped.await;
    accepting.abort();
    Ok(())
}

fn block_on(task: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, task)
}

async fn accept<S: Service>(listener: TcpListener, shared: Rc<SharedState>, service: Rc<S>) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if shared.is_refusing.get() {
            continue;
        }
        spawn_local(serve(tcp, Rc::clone(&shared), Rc::clone(&service)));
    }
}

async fn serve<S: Service>(tcp: TcpStream, shared: Rc<SharedState>, service: Rc<S>) {
    // With Nagle's algorithm each event would wait for the acknowledgement of the previous one.
    if tcp.set_nodelay(true).is_err() {
        return;
    }
    let link = shared.add_link();
    let stream = TokioIo::new(LinkStream::new(tcp, Rc::clone(&link)));
    let answer = service_fn(|request| {
        let shared = Rc::clone(&shared);
        let service = Rc::clone(&service);
        let link = Rc::clone(&link);
        async move { Ok::<_, Infallible>(respond(shared, service, link, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(stream, answer);
    tokio::select! {
        // Usually the caller ends the connection, so an error has no recipient.
        _ = connection => {}
        () = link.closed() => {}
    }
}

async fn respond<S: Service>(
    shared: Rc<SharedState>,
    service: Rc<S>,
    link: Rc<Link>,
    request: Request<Incoming>,
) -> Reply {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return reply::text(StatusCode::BAD_REQUEST, "the body is incomplete");
    };
    let mut call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body: body.to_bytes(),
        link,
        plan: FaultPlan::default(),
    };
    if call.path == CONTROL_PATH {
        return service
            .control(&call.body)
            .unwrap_or_else(|| control::handle(&shared, &call));
    }
    if !control::is_harness_path(&call.path) {
        call.plan = shared
            .faults
            .borrow_mut()
            .plan(shared.now(), &call.path, &call.body);
    }
    respond_with_faults(&shared, &*service, &call).await
}

async fn respond_with_faults<S: Service>(shared: &SharedState, service: &S, call: &Call) -> Reply {
    let plan = &call.plan;
    if plan.close {
        return close_connection(call).await;
    }
    if plan.outage {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "outage");
    }
    sleep_for(plan.start_delay).await;
    if plan.crash && !shared.is_crashing.replace(true) {
        service.crash(call);
        std::process::exit(CRASH_EXIT_CODE);
    }
    let answer = service.call(call).await;
    sleep_for(plan.answer_delay).await;
    let is_whole = matches!(answer.body(), ReplyBody::Whole(_));
    match plan.drop_after_events {
        Some(after_events) if is_whole || after_events == 0 => close_connection(call).await,
        _ => answer,
    }
}

async fn sleep_for(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

async fn close_connection(call: &Call) -> Reply {
    call.link.close();
    pending().await
}
