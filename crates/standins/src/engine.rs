//! `engine`: a model engine that batches continuously and keeps a prefix cache.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderName;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;

use sedgeridge_protocol::chat::CHAT_PATH;
use sedgeridge_protocol::chat::ChatRequest;
use sedgeridge_protocol::chat::Usage;
use sedgeridge_protocol::engine::LOAD_PATH;
use sedgeridge_protocol::engine::ORDERS_PATH;
use sedgeridge_protocol::headers;
use sedgeridge_protocol::ledger::RunOutcome;
use sedgeridge_protocol::ledger::RunRecord;

use crate::answer;
use crate::batch::Batch;
use crate::batch::BatchEvent;
use crate::batch::Job;
use crate::chat_answer;
use crate::configs::engine::EngineConfig;
use crate::endpoint;
use crate::endpoint::EndpointCore;
use crate::engine_orders::EngineOrders;
use crate::prefix_cache::Prefix;
use crate::reply;
use crate::reply::BodyChunk;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::RunningServer;
use crate::server::Service;
use crate::server::SharedState;

/// Starts the stand-in.
///
/// ```
/// use sedgeridge_standins::configs::engine::EngineConfig;
///
/// let engine = sedgeridge_standins::engine::spawn(EngineConfig::default())?;
/// assert_ne!(engine.address().port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn spawn(config: EngineConfig) -> io::Result<RunningServer> {
    server::spawn(config.listen, move |shared| Engine::new(config, shared))
}

#[derive(Debug)]
struct Engine {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    config: EngineConfig,
    core: EndpointCore,
    orders: RefCell<EngineOrders>,
    state: RefCell<State>,
    batch_changed: Notify,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    sessions: HashMap<u64, Session>,
    next_job_id: u64,
}

/// One request from its arrival to its end.
#[derive(Debug)]
struct Session {
    events: UnboundedSender<JobEvent>,
    record: RunRecord,
    run_id: Option<u64>,
}

/// Progress of a job, as sent to the task that answers its caller.
#[derive(Debug, Clone, Copy)]
enum JobEvent {
    Token { position: u64 },
    Finished { cached_tokens: u64 },
}

impl Engine {
    fn new(config: EngineConfig, shared: Rc<SharedState>) -> io::Result<Self> {
        let core = EndpointCore::new(&config.endpoint, shared)?;
        let inner = Rc::new(Inner {
            state: RefCell::new(State {
                batch: Batch::new(config.batch()),
                sessions: HashMap::new(),
                next_job_id: 0,
            }),
            orders: RefCell::new(EngineOrders::new(config.checks_fencing)),
            batch_changed: Notify::new(),
            core,
            config,
        });
        spawn_local(run_steps(Rc::clone(&inner)));
        Ok(Self { inner })
    }

    async fn chat(&self, call: &Call) -> Reply {
        let request: ChatRequest = match serde_json::from_slice(&call.body) {
            Ok(request) => request,
            Err(error) => return reply::text(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if self.inner.orders.borrow().is_unloaded(&request.model) {
            return reply::not_started("the model is not loaded");
        }
        if self.inner.is_full() {
            return reply::not_started("the waiting line is full");
        }
        let job = job(&request, call);
        let first_token = job.first_token;
        let usage = Usage {
            prompt_tokens: job.input_tokens,
            completion_tokens: job.end_token - first_token,
            cached_tokens: 0,
        };
        let events = self
            .inner
            .submit(job, record(&self.inner.config, &request, call));
        let id = call.header(headers::ATTEMPT_ID).unwrap_or("").to_owned();
        let mut answer = if request.stream {
            let break_after = call
                .plan
                .drop_after_events
                .map(|events| (events, Rc::clone(&call.link)));
            let (sender, chunks) = unbounded_channel();
            spawn_local(send_stream(id, request, usage, events, sender));
            reply::stream(chunks, break_after)
        } else {
            whole_answer(&id, &request, usage, first_token, events).await
        };
        let name = HeaderName::from_static(headers::FIRST_TOKEN);
        reply::set(&mut answer, name, &first_token.to_string());
        answer
    }
}

impl Service for Engine {
    async fn call(&self, call: &Call) -> Reply {
        let inner = &self.inner;
        let mut answer = match (&call.method, call.path.as_str()) {
            (&Method::POST, CHAT_PATH) => self.chat(call).await,
            (&Method::GET, LOAD_PATH) => inner.core.load(),
            (_, ORDERS_PATH) => inner.orders.borrow_mut().handle(&inner.core, call),
            _ => inner
                .core
                .ledger_call(call)
                .unwrap_or_else(endpoint::unknown_path),
        };
        endpoint::echo_attempt(call, &mut answer);
        answer
    }

    fn crash(&self, call: &Call) {
        if let Ok(request) = serde_json::from_slice(&call.body) {
            let record = record(&self.inner.config, &request, call);
            self.inner.core.ledger.borrow_mut().start(record);
        }
        self.inner.core.ledger.borrow_mut().crash();
    }
}

impl Inner {
    fn is_full(&self) -> bool {
        let batch = &self.state.borrow().batch;
        batch.running() >= self.config.endpoint.slots as usize
            && batch.waiting() >= self.config.max_waiting
    }

    fn submit(self: &Rc<Self>, mut job: Job, record: RunRecord) -> UnboundedReceiver<JobEvent> {
        let (sender, receiver) = unbounded_channel();
        let mut batch_events = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let id = state.next_job_id;
            state.next_job_id += 1;
            job.id = id;
            let session = Session {
                events: sender.clone(),
                record,
                run_id: None,
            };
            state.sessions.insert(id, session);
            state.batch.submit(self.core.now(), job, &mut batch_events);
            spawn_local(cancel_on_disconnect(Rc::clone(self), id, sender));
        }
        self.publish(&batch_events);
        receiver
    }

    /// Cancels a job whose caller has disconnected; does nothing if it has finished.
    fn cancel_job(&self, id: u64) {
        let mut batch_events = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.batch.cancel(self.core.now(), id, &mut batch_events);
        }
        self.publish(&batch_events);
        if let Some(session) = self.state.borrow_mut().sessions.remove(&id)
            && let Some(run_id) = session.run_id
        {
            let output_tokens = session.record.output_tokens;
            let mut ledger = self.core.ledger.borrow_mut();
            ledger.end(run_id, RunOutcome::Cancelled, output_tokens);
        }
    }

    fn advance(&self) {
        let mut batch_events = Vec::new();
        let now = self.core.now();
        self.state
            .borrow_mut()
            .batch
            .advance(now, &mut batch_events);
        self.publish(&batch_events);
    }

    fn publish(&self, batch_events: &[BatchEvent]) {
        let mut state = self.state.borrow_mut();
        for event in batch_events {
            state.publish(*event, &self.core);
        }
        self.core
            .record_load(state.batch.running(), state.batch.waiting());
        self.batch_changed.notify_one();
    }
}

impl State {
    fn publish(&mut self, event: BatchEvent, core: &EndpointCore) {
        match event {
            BatchEvent::Started { id, cached_tokens } => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.start(cached_tokens, core);
                }
            }
            BatchEvent::Token { id, position } => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.record_token(position, core);
                }
            }
            BatchEvent::Finished { id } => {
                if let Some(session) = self.sessions.remove(&id) {
                    session.finish(core);
                }
            }
        }
    }
}

impl Session {
    fn start(&mut self, cached_tokens: u64, core: &EndpointCore) {
        self.record.started_at_ms = crate::ledger::unix_ms();
        self.record.cached_tokens = cached_tokens;
        let run_id = core.ledger.borrow_mut().start(self.record.clone());
        self.run_id = Some(run_id);
    }

    fn record_token(&mut self, position: u64, core: &EndpointCore) {
        self.record.output_tokens += 1;
        if let Some(run_id) = self.run_id {
            let output_tokens = self.record.output_tokens;
            core.ledger.borrow_mut().progress(run_id, output_tokens);
        }
        self.send_event(JobEvent::Token { position });
    }

    fn finish(self, core: &EndpointCore) {
        let output_tokens = self.record.output_tokens;
        if let Some(run_id) = self.run_id {
            let mut ledger = core.ledger.borrow_mut();
            ledger.end(run_id, RunOutcome::Finished, output_tokens);
        }
        self.send_event(JobEvent::Finished {
            cached_tokens: self.record.cached_tokens,
        });
    }

    fn send_event(&self, event: JobEvent) {
        // Fails when the caller has disconnected; `cancel_on_disconnect` handles that.
        let _ = self.events.send(event);
    }
}

async fn run_steps(inner: Rc<Inner>) {
    loop {
        let next = inner.state.borrow().batch.next_step();
        match next {
            None => inner.batch_changed.notified().await,
            Some(at) => {
                tokio::time::sleep_until(inner.core.instant(at)).await;
                inner.advance();
            }
        }
    }
}

async fn cancel_on_disconnect(inner: Rc<Inner>, id: u64, sender: UnboundedSender<JobEvent>) {
    sender.closed().await;
    inner.cancel_job(id);
}

async fn send_stream(
    id: String,
    request: ChatRequest,
    mut usage: Usage,
    mut events: UnboundedReceiver<JobEvent>,
    chunks: UnboundedSender<BodyChunk>,
) {
    let key = answer::request_key(&request);
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            // Returning drops the event receiver, which cancels the job.
            () = chunks.closed() => return,
        };
        match event {
            Some(JobEvent::Token { position }) => {
                let text = answer::answer_token(key, position);
                if chunks
                    .send(data_chunk(chat_answer::token_event(&id, text)))
                    .is_err()
                {
                    return;
                }
            }
            Some(JobEvent::Finished { cached_tokens }) => {
                usage.cached_tokens = cached_tokens;
                let reason = answer::finish_reason(&request);
                let end = chat_answer::end_event(&id, reason, usage);
                // Sending fails only after the caller has disconnected.
                let _ = chunks.send(data_chunk(end));
                let _ = chunks.send(BodyChunk::End);
                return;
            }
            None => return,
        }
    }
}

async fn whole_answer(
    id: &str,
    request: &ChatRequest,
    mut usage: Usage,
    first_token: u64,
    mut events: UnboundedReceiver<JobEvent>,
) -> Reply {
    while let Some(event) = events.recv().await {
        if let JobEvent::Finished { cached_tokens } = event {
            usage.cached_tokens = cached_tokens;
            break;
        }
    }
    let answer = chat_answer::whole(id, request, first_token, usage);
    reply::json(StatusCode::OK, &answer)
}

fn data_chunk(event: String) -> BodyChunk {
    BodyChunk::Data(Bytes::from(event))
}

fn job(request: &ChatRequest, call: &Call) -> Job {
    let end_token = answer::output_tokens(request);
    let received_tokens = call.header_number(headers::RESUME_AFTER_TOKENS);
    Job {
        id: 0,
        input_tokens: answer::input_tokens(request),
        prefixes: answer::prefix_keys(request)
            .into_iter()
            .map(|(key, length_tokens)| Prefix { key, length_tokens })
            .collect(),
        first_token: received_tokens.unwrap_or(0).min(end_token),
        end_token,
    }
}

fn record(config: &EngineConfig, request: &ChatRequest, call: &Call) -> RunRecord {
    RunRecord {
        service: request.model.clone(),
        input_tokens: answer::input_tokens(request),
        first_token: job(request, call).first_token,
        request_key: answer::request_key(request),
        ..endpoint::run_record(&config.endpoint.name, call)
    }
}
