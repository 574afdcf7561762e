//! Questions about the origins of streams whose callers leave.

use std::time::Duration;

use sedgeridge_fleet::origin_exchange::FIND_ROUNDS;
use sedgeridge_fleet::origin_exchange::ROUND_TIME;
use sedgeridge_fleet::stream_origin::StreamKey;
use sedgeridge_gateway::stream_origins::StreamOrigins;
use tokio::time::timeout;

const OWN_HOST: u64 = 1;
const SILENT_HOST: u64 = 2;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

/// Guards against memory that is held for each caller that leaves while its host asks others.
#[test]
fn a_question_ends_with_its_caller() {
    run(async {
        let origins = StreamOrigins::new(OWN_HOST);
        for number in 0..50 {
            let stream = StreamKey(number);
            let question = origins.ask(stream, vec![SILENT_HOST]);
            let left = timeout(Duration::from_millis(1), question).await;
            assert!(left.is_err(), "no host answers");
        }
        assert_eq!(origins.searches(), 0);
    });
}

/// Guards against a caller that is refused because another one with the same stream has left.
#[test]
fn a_question_goes_on_while_another_caller_waits() {
    run(async {
        let origins = StreamOrigins::new(OWN_HOST);
        let stream = StreamKey(7);
        let leaves = timeout(
            Duration::from_millis(1),
            origins.ask(stream, vec![SILENT_HOST]),
        );
        let stays = origins.ask(stream, vec![SILENT_HOST]);
        let watch = async {
            let _ = leaves.await;
            assert_eq!(origins.searches(), 1);
        };
        let (origin, ()) = timeout(ROUND_TIME * (FIND_ROUNDS + 4), async {
            tokio::join!(stays, watch)
        })
        .await
        .expect("the question ends");
        assert_eq!(origin, None);
        assert_eq!(origins.searches(), 0);
    });
}
