//! `orders add` and `orders list` with concurrent writers and lost answers.

#[path = "configuration/fake.rs"]
#[allow(dead_code)]
mod fake;

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use pico_args::Arguments;
use sedgeridge_cli::dispatch::dispatch;
use sedgeridge_cli::error::CommandError;
use sedgeridge_protocol::table::RowWrite;
use sedgeridge_protocol::table::TransactRequest;
use yare::parameterized;

use fake::FakeContext;
use fake::Fault;

const BASE: &str = "\
[fleet]
name = demo
[platform]
table_address = 127.0.0.2:7000
[site.north]
[pool.desk]
[pool.booking]
[endpoint.desk-1]
pool = desk
site = north
address = 127.0.0.1:7100
slots = 4
[endpoint.booking-1]
pool = booking
site = north
address = 127.0.0.1:7101
slots = 4
";
static FILES: AtomicU32 = AtomicU32::new(0);

const LIST: &str = "orders list --table 127.0.0.2:7000";
const TO_BOOKING: &str = "--endpoint desk-1 --kind change_role --subject booking";

fn run(context: &FakeContext, line: &str) -> Result<String, CommandError> {
    let words = line.split_whitespace().map(Into::into);
    dispatch(Arguments::from_vec(words.collect()), context)
}

fn add(context: &FakeContext, options: &str) -> Result<String, CommandError> {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("orders");
    fs::create_dir_all(&directory).unwrap();
    let file = directory.join(format!("base-{number}.ini"));
    fs::write(&file, BASE).unwrap();
    run(context, &format!("orders add {options} {}", file.display()))
}

#[test]
fn an_order_is_listed_as_intended() {
    let context = FakeContext::default();
    let text = add(&context, TO_BOOKING).unwrap();
    assert_eq!(text, "order 1 to desk-1 is accepted\n");
    let list = run(&context, LIST).unwrap();
    assert!(
        list.contains("desk-1    1       change_role  booking  intended  0"),
        "{list}"
    );
}

#[parameterized(
    endpoint = { "--endpoint desk-9 --kind load --subject a/v2" },
    pool = { "--endpoint desk-1 --kind change_role --subject portal" },
    kind = { "--endpoint desk-1 --kind reboot --subject now" },
    no_form = { "--endpoint desk-1 --kind export_cache --subject cache-1" },
)]
fn an_order_that_fits_no_settings_is_refused(options: &str) {
    let context = FakeContext::default();
    let error = add(&context, options).unwrap_err();
    assert!(matches!(error, CommandError::BadInput(_)));
    assert_eq!(context.row_count(), 0);
}

#[test]
fn an_endpoint_with_an_open_order_takes_no_other() {
    let context = FakeContext::default();
    add(&context, TO_BOOKING).unwrap();
    let error = add(&context, TO_BOOKING).unwrap_err();
    assert!(
        error
            .to_string()
            .contains("order 1 to desk-1 is still open")
    );
}

// The order is written but the answer is lost. The second attempt finds its own row, which must be
// reported as accepted; after a reported conflict the operator would give the order twice.
#[test]
fn an_order_whose_answer_was_lost_is_found_accepted() {
    let context = FakeContext::default();
    context
        .transact_faults
        .borrow_mut()
        .push_back(Fault::AnswerLost);
    add(&context, TO_BOOKING).unwrap();
    assert_eq!(context.committed.borrow().len(), 1);
}

// The call with the order is lost, and another operator writes an order to the endpoint before it
// is sent again. The first operator's error names the other order, which stays in the table.
#[test]
fn the_loser_of_a_race_learns_which_order_won() {
    let context = FakeContext::default();
    let rival = FakeContext::default();
    add(&rival, "--endpoint desk-1 --kind load --subject a/v2").unwrap();
    let value = rival.committed.borrow()[0].writes[0].value.clone();
    context
        .transact_faults
        .borrow_mut()
        .push_back(Fault::CallLost);
    *context.rival.borrow_mut() = Some(TransactRequest {
        checks: Vec::new(),
        writes: vec![RowWrite {
            key: "order/desk-1".into(),
            value,
        }],
    });
    let error = add(&context, TO_BOOKING).unwrap_err();
    assert!(
        error.to_string().contains("order 1, load a/v2, came first"),
        "{error}"
    );
    assert!(run(&context, LIST).unwrap().contains("a/v2"));
}

// Every answer is lost. The order may be in the table, so the error says that it may be accepted,
// and how to check.
#[test]
fn an_order_without_any_answer_is_said_to_be_unknown() {
    let context = FakeContext::default();
    let lost = [Fault::AnswerLost, Fault::CallLost, Fault::Refused];
    context.transact_faults.borrow_mut().extend(lost);
    let error = add(&context, TO_BOOKING).unwrap_err();
    assert!(error.to_string().contains("may be accepted"), "{error}");
}
