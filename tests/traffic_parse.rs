//! Parsers of HTTP heads and bodies with arbitrary input.

use googletest::prelude::*;
use proptest::prelude::*;

use gooseberryloft::traffic::body::BodyDecoder;
use gooseberryloft::traffic::body::Framing;
use gooseberryloft::traffic::head::HeadError;
use gooseberryloft::traffic::head::MAX_HEAD_BYTES;
use gooseberryloft::traffic::head::head_length;
use gooseberryloft::traffic::head::parse_request;
use gooseberryloft::traffic::head::parse_response;

/// Decodes input that is received in parts of the given sizes, which are repeated as needed.
/// Returns the data, whether the body is complete, and the number of bytes used; `None` if the
/// input is rejected.
fn decode(framing: Framing, input: &[u8], sizes: &[usize]) -> Option<(Vec<u8>, bool, usize)> {
    let mut decoder = BodyDecoder::new(framing);
    let mut data = Vec::new();
    let mut sizes = sizes.iter().cycle();
    let (mut start, mut end) = (0, 0);
    loop {
        let piece = decoder.decode(&input[start..end]).ok()?;
        data.extend_from_slice(&input[start + piece.skip..start + piece.used()]);
        start += piece.used();
        let more = end < input.len();
        if decoder.is_done() || piece.used() == 0 && !more {
            return Some((data, decoder.is_done(), start));
        }
        if piece.used() == 0 {
            end = (end + sizes.next().unwrap()).min(input.len());
        }
    }
}

fn chunked(chunks: &[Vec<u8>]) -> Vec<u8> {
    let mut body = Vec::new();
    for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
        body.extend_from_slice(format!("{:X};x=y\r\n", chunk.len()).as_bytes());
        body.extend_from_slice(chunk);
        body.extend_from_slice(b"\r\n");
    }
    body.extend_from_slice(b"0\r\nx: y\r\n\r\n");
    body
}

fn http_fragments() -> impl Strategy<Value = Vec<u8>> {
    let words = prop::sample::select(vec![
        "GET / HTTP/1.1\r\n",
        "HTTP/1.1 200 OK\r\n",
        "host: x\r\n",
        "content-length: 5\r\n",
        "transfer-encoding: chunked\r\n",
        "\r\n",
        "\r",
        "\n",
        " ",
        ":",
        ",",
        "5",
        "\0",
        "é",
        "%2e",
    ]);
    let word = prop_oneof![
        words.prop_map(|word| word.as_bytes().to_vec()),
        prop::collection::vec(any::<u8>(), 0..4),
    ];
    prop::collection::vec(word, 0..40).prop_map(|words| words.concat())
}

proptest! {
    #[test]
    fn no_input_makes_the_head_parsers_panic(input in http_fragments()) {
        if let Ok(Some(length)) = head_length(&input) {
            prop_assert!(length <= input.len().min(MAX_HEAD_BYTES));
            let _ = parse_request(&input[..length]);
            let _ = parse_response(&input[..length], "GET");
        }
        let _ = parse_request(&input);
        let _ = parse_response(&input, "HEAD");
    }

    #[test]
    fn an_accepted_request_has_one_framing(input in http_fragments()) {
        if let Ok(head) = parse_request(&input) {
            let lengths = head.fields.all("content-length").count();
            let codings = head.fields.all("transfer-encoding").count();
            prop_assert!(lengths + codings <= 1);
            prop_assert_eq!(head.framing == Framing::Empty, lengths + codings == 0);
        }
    }

    #[test]
    fn no_input_makes_the_decoder_panic_or_read_past_its_end(
        input in prop::collection::vec(
            prop::sample::select(b"0123456789abcdefXYZ;\r\n\r\n\r\n ".to_vec()), 0..200),
        sizes in prop::collection::vec(1..9_usize, 1..5),
        length in 0..100_u64,
    ) {
        for framing in [Framing::Empty, Framing::Length(length), Framing::Chunked] {
            if let Some((data, _, used)) = decode(framing, &input, &sizes) {
                prop_assert!(data.len() <= used && used <= input.len());
            }
        }
    }

    #[test]
    fn chunked_bodies_decode_the_same_for_any_split(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        sizes in prop::collection::vec(1..50_usize, 1..5),
        cut in any::<prop::sample::Index>(),
    ) {
        let body = chunked(&chunks);
        let next = [&body[..], b"GET / HTTP/1.1\r\n"].concat();
        prop_assert_eq!(
            decode(Framing::Chunked, &next, &sizes),
            Some((chunks.concat(), true, body.len()))
        );
        let cut = cut.index(body.len());
        let prefix = decode(Framing::Chunked, &body[..cut], &sizes);
        let (_, complete, _) = prefix.expect("a valid prefix is accepted");
        prop_assert!(!complete);
    }

    #[test]
    fn a_length_ends_the_body_exactly(
        input in prop::collection::vec(any::<u8>(), 0..100),
        length in 0..120_usize,
        sizes in prop::collection::vec(1..50_usize, 1..5),
    ) {
        let (data, complete, _) = decode(Framing::Length(length as u64), &input, &sizes).unwrap();
        prop_assert_eq!(&data[..], &input[..length.min(input.len())]);
        prop_assert_eq!(complete, input.len() >= length);
    }
}

#[googletest::test]
fn a_head_without_end_is_refused_at_its_limit() {
    let fill = vec![b'a'; MAX_HEAD_BYTES];
    expect_that!(head_length(&fill[1..]), ok(none()));
    expect_that!(head_length(&fill), err(eq(HeadError::TooLong)));
}

#[googletest::test]
fn field_names_with_other_bytes_than_those_of_tokens_are_rejected() {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    // httparse compares blocks of bytes, whose size differs between processors.
    let lengths = [1, 2, 7, 8, 9, 15, 16, 17, 31, 33, 65];
    let positions = lengths.map(|length| (0..=length).map(move |at| (length, at)));
    for (length, at) in positions.into_iter().flatten() {
        // A colon ends the name.
        for byte in (0..=u8::MAX).filter(|byte| *byte != b':') {
            let mut name = vec![b'n'; length];
            name.insert(at, byte);
            let fields = [b"host: x\r\n", &name[..], b": v\r\nlast: 1\r\n\r\n"].concat();
            let response = [b"HTTP/1.1 200 OK\r\n", &fields[..]].concat();
            let request = [b"GET / HTTP/1.1\r\n", &fields[..]].concat();
            let accepted = [
                parse_response(&response, "GET").is_ok(),
                parse_request(&request).is_ok(),
            ];
            expect_that!(
                accepted,
                eq([is_token(byte); 2]),
                "{byte} at {at} of {length}"
            );
        }
    }
}

#[googletest::test]
fn responses_without_a_body_have_empty_framing() {
    let framing = |status: u16, method: &str| {
        let head = format!("HTTP/1.1 {status} x\r\ncontent-length: 5\r\n\r\n");
        parse_response(head.as_bytes(), method).map(|head| head.framing)
    };
    expect_that!(framing(200, "GET"), ok(eq(Framing::Length(5))));
    expect_that!(framing(200, "HEAD"), ok(eq(Framing::Empty)));
    expect_that!(framing(204, "GET"), ok(eq(Framing::Empty)));
    expect_that!(framing(304, "GET"), ok(eq(Framing::Empty)));
    expect_that!(framing(103, "GET"), ok(eq(Framing::Empty)));
}
