//! Encoding and decoding of link messages, and the limits of a link: no input causes a panic or
//! unbounded memory use.

use std::time::Duration;
use std::time::Instant;

use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use googletest::prelude::*;
use proptest::prelude::*;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::link;
use gooseberryloft::link::Frame;
use gooseberryloft::link::Hello;
use gooseberryloft::link::LINK_TIMEOUT;
use gooseberryloft::link::LinkError;
use gooseberryloft::link::Message;
use gooseberryloft::link::Outbox;
use gooseberryloft::link::Role;
use gooseberryloft::state_sync::Census;
use gooseberryloft::state_sync::Feed;
use gooseberryloft::state_sync::Summary;
use gooseberryloft::view::ViewDigest;

const TOKEN: &str = "0123456789abcdef";

fn message() -> impl Strategy<Value = Message> {
    let hello = (any::<u64>(), any::<u64>()).prop_map(|(boot, number)| {
        Message::Hello(Hello {
            vm: "vm-1".into(),
            boot: BootId(boot),
            data_centre: "north".into(),
            role: Role::Controller,
            digest: ViewDigest {
                number: TicketNumber(number),
                ..ViewDigest::default()
            },
        })
    });
    let summary = (any::<u64>(), any::<u64>(), any::<Option<u64>>());
    let summary = summary.prop_map(|(number, versions, age_ms)| {
        Message::Summary(Summary {
            number: TicketNumber(number),
            versions,
            age_ms,
        })
    });
    let census = (any::<u64>(), ".{0,20}").prop_map(|(number, vm)| {
        let vm = vm.as_str().into();
        Message::Census(Census::of("north".into(), vm, TicketNumber(number)))
    });
    prop_oneof![
        hello,
        summary,
        census,
        Just(Message::Subscribe(Feed::Lazy)),
        any::<u64>().prop_map(Message::Ping),
    ]
}

proptest! {
    #[test]
    fn any_bytes_decode_or_fail(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = link::decode(&bytes);
    }

    #[test]
    fn a_decoded_message_equals_the_encoded_one(message in message()) {
        prop_assert_eq!(link::decode(&link::encode(&message)).ok(), Some(message));
    }

    #[test]
    fn a_damaged_message_decodes_or_fails(
        message in message(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        keep in any::<prop::sample::Index>(),
    ) {
        let mut bytes = link::encode(&message);
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = link::decode(&bytes);
        bytes.truncate(keep.index(bytes.len()));
        let _ = link::decode(&bytes);
    }
}

// Headers that announce an array, a map, a text and bytes of 2^62 items without content, and deep
// nesting.
#[googletest::test]
fn announced_sizes_allocate_no_memory() {
    for header in [0x9b, 0xbb, 0x7b, 0x5b] {
        let mut bytes = vec![0xa2, 0x61, b'v', 0x01, 0x61, b'm', header];
        bytes.extend((1_u64 << 62).to_be_bytes());
        expect_that!(link::decode(&bytes).is_err(), eq(true));
    }
    expect_that!(link::decode(&[0x81; 100_000]).is_err(), eq(true));
}

#[googletest::test]
fn another_version_is_refused() {
    let mut bytes = link::encode(&Message::Ping(1));
    let at = bytes.iter().position(|byte| *byte == b'v').unwrap() + 1;
    bytes[at] = 2;
    let result = link::decode(&bytes);
    expect_that!(matches!(result, Err(LinkError::Version(2))), eq(true));
}

#[googletest::test]
fn a_wrong_token_is_refused() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = task::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            link::accept(stream, TOKEN).await.is_ok()
        });
        let opened = link::connect(address, "0123456789abcdeX").await;
        expect_that!(opened.is_err(), eq(true));
        expect_that!(accepted.await, eq(false));
    });
}

#[googletest::test]
fn a_link_to_an_unresponsive_peer_times_out() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = task::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            // Sends nothing and does not close the link.
            let link = link::accept(stream, TOKEN).await;
            task::sleep(Duration::from_secs(60)).await;
            drop(link);
        });
        let link = link::connect(address, TOKEN).await.unwrap();
        let (_outbox, queue) = Outbox::new();
        let (inbox, _messages) = bounded::<Message>(1);
        let start = Instant::now();
        let result = link::run(link, queue, inbox, |message| message);
        let result = timeout(LINK_TIMEOUT * 3, result).await;
        expect_that!(matches!(result, Ok(LinkError::TimedOut)), eq(true));
        println!("timed out after {:?}", start.elapsed());
        peer.cancel().await;
    });
}

#[googletest::test]
fn an_outbox_that_is_not_drained_is_bounded_and_closes() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = task::spawn(async move { TcpStream::connect(address).await });
        let (outbox, queue) = Outbox::new();
        let frame = Frame::new(&Message::Ping(1));
        for _ in 0..100_000 {
            outbox.send(frame.clone());
        }
        let mut queued = 0;
        while queue.try_recv().is_ok() {
            queued += 1;
        }
        expect_that!(queued, le(10_000));
        expect_that!(queue.is_closed(), eq(true));
        drop(peer.await);
    });
}
