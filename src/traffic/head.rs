//! Strict parser of HTTP/1.1 heads: rejects requests and responses with ambiguous framing or paths.

use std::ops::Range;

use thiserror::Error;

use crate::traffic::body::Framing;

/// Longest accepted head, including the empty line at its end.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

const MAX_FIELDS: usize = 100;
const MAX_LENGTH_DIGITS: usize = 18;

/// The reason why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The head exceeds [`MAX_HEAD_BYTES`].
    #[error("the head is longer than 16 KB; send fewer or shorter header fields")]
    TooLong,
    /// The head has more than 100 fields.
    #[error("the head has more than 100 header fields; send fewer")]
    TooManyFields,
    /// A line ends with LF instead of CR LF.
    #[error("a line of the head does not end with CR LF; send heads as RFC 9112 has them")]
    LineEnding,
    /// The head violates the HTTP syntax, or the status of a response is not one that it may have.
    #[error("the head is malformed; send heads as RFC 9112 has them")]
    Syntax,
    /// The HTTP version is not supported.
    #[error("only HTTP/1.1 is served; ask with HTTP/1.1")]
    Version,
    /// The path is not absolute, contains dot segments or has invalid percent escapes.
    #[error("the request target is no plain absolute path; ask without dot segments")]
    Path,
    /// The `host` field is missing or occurs more than once.
    #[error("exactly one host field is needed; send one")]
    Host,
    /// The framing of the body is ambiguous or not supported.
    #[error("the length of the body is ambiguous; send one content-length or chunks, never both")]
    Length,
}

/// The header fields of a head, in the order received.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    text: Vec<u8>,
    list: Vec<Field>,
}

#[derive(Clone, Debug)]
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method exactly as received.
    pub method: String,
    /// The path and query exactly as received.
    pub path: String,
    /// The header fields.
    pub fields: Fields,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the caller keeps the connection open for further requests.
    pub keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code, 100 to 599 except 101; below 200, the response is an interim one.
    pub status: u16,
    /// The reason phrase, which may be empty.
    pub reason: String,
    /// The header fields.
    pub fields: Fields,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the target keeps the connection open for further requests.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Returns true for an interim response, which another one follows.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}

impl Fields {
    /// Iterates over all fields in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.list.iter().map(|field| {
            let name = std::str::from_utf8(&self.text[field.name.clone()]).unwrap_or_default();
            (name, &self.text[field.value.clone()])
        })
    }

    /// Iterates over the values of all fields with this name, which is case-insensitive.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of a field, or `None` unless it occurs exactly once.
    pub fn only(&self, name: &str) -> Option<&[u8]> {
        let mut values = self.all(name);
        let first = values.next()?;
        values.next().is_none().then_some(first)
    }

    /// Returns the memory that the fields take, in bytes.
    pub fn memory(&self) -> usize {
        self.text.capacity() + self.list.capacity() * size_of::<Field>()
    }

    /// Returns true if a comma-separated field contains a token, compared case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name)
            .any(|value| value.eq_ignore_ascii_case(token.as_bytes()))
    }

    fn tokens<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.all(name)
            .flat_map(|value| value.split(|&byte| byte == b','))
            .map(<[u8]>::trim_ascii)
    }

    fn new(text: &[u8], headers: &[httparse::Header<'_>]) -> Self {
        let start = text.as_ptr() as usize;
        let range = |part: &[u8]| {
            let from = part.as_ptr() as usize - start;
            from..from + part.len()
        };
        let list = headers.iter().map(|header| Field {
            name: range(header.name.as_bytes()),
            value: range(header.value),
        });
        Self {
            list: list.collect(),
            text: text.to_vec(),
        }
    }

    /// Returns the framing that the fields declare; `None` if they declare none.
    fn framing(&self) -> Result<Option<Framing>, HeadError> {
        let mut lengths = self.all("content-length");
        let mut codings = self.all("transfer-encoding");
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(None),
            (Some(length), None) if lengths.next().is_none() => {
                parse_length(length).map(|length| Some(Framing::Length(length)))
            }
            (None, Some(coding))
                if codings.next().is_none() && coding.eq_ignore_ascii_case(b"chunked") =>
            {
                Ok(Some(Framing::Chunked))
            }
            _ => Err(HeadError::Length),
        }
    }
}

fn parse_length(text: &[u8]) -> Result<u64, HeadError> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    if !is_number || text.len() > MAX_LENGTH_DIGITS {
        return Err(HeadError::Length);
    }
    let append_digit = |sum, byte: &u8| sum * 10 + u64::from(byte - b'0');
    Ok(text.iter().fold(0, append_digit))
}

/// Returns the length of the head at the start of `input`, or `None` if it is incomplete.
pub fn head_length(input: &[u8]) -> Result<Option<usize>, HeadError> {
    let searched = &input[..input.len().min(MAX_HEAD_BYTES)];
    let mut line_start = 0;
    for (at, _) in searched
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n')
    {
        if at == 0 || searched[at - 1] != b'\r' {
            return Err(HeadError::LineEnding);
        }
        if at - line_start == 1 && line_start > 0 {
            return Ok(Some(at + 1));
        }
        line_start = at + 1;
    }
    if input.len() >= MAX_HEAD_BYTES {
        return Err(HeadError::TooLong);
    }
    Ok(None)
}

/// Parses the complete head of a request.
pub fn parse_request(text: &[u8]) -> Result<RequestHead, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(text).map_err(syntax)?;
    if status != httparse::Status::Complete(text.len()) {
        return Err(HeadError::Syntax);
    }
    if parsed.version != Some(1) {
        return Err(HeadError::Version);
    }
    let path = parsed.path.ok_or(HeadError::Syntax)?;
    check_path(path)?;
    let fields = Fields::new(text, parsed.headers);
    fields.only("host").ok_or(HeadError::Host)?;
    Ok(RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        framing: fields.framing()?.unwrap_or(Framing::Empty),
        keep_alive: !fields.has_token("connection", "close"),
        expects_continue: fields.has_token("expect", "100-continue"),
        fields,
    })
}

/// Parses the complete head of the response to a request with this method. Callers skip interim
/// responses, which the final one follows. 101 is rejected: it is final, and no request of ours asks for
/// an upgrade.
pub fn parse_response(text: &[u8], method: &str) -> Result<ResponseHead, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let complete = parsed.parse(text).map_err(syntax)?;
    if complete != httparse::Status::Complete(text.len()) {
        return Err(HeadError::Syntax);
    }
    let status = parsed.code.ok_or(HeadError::Syntax)?;
    if !matches!(status, 100 | 102..=599) {
        return Err(HeadError::Syntax);
    }
    let minor = parsed.version.ok_or(HeadError::Version)?;
    let fields = Fields::new(text, parsed.headers);
    let declared = fields.framing()?;
    let bodiless = method == "HEAD" || matches!(status, 100..=199 | 204 | 304);
    let framing = if bodiless {
        Framing::Empty
    } else {
        declared.unwrap_or(Framing::UntilClose)
    };
    if minor == 0 && framing == Framing::Chunked {
        return Err(HeadError::Length);
    }
    Ok(ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        framing,
        keep_alive: minor == 1 && !fields.has_token("connection", "close"),
        fields,
    })
}

/// Rejects paths that a target may interpret differently from the router.
fn check_path(path: &str) -> Result<(), HeadError> {
    let path_only = path.split('?').next().unwrap_or_default();
    if !path_only.starts_with('/') || path_only.contains(['#', '\\']) {
        return Err(HeadError::Path);
    }
    let decoded = percent_decode(path_only.as_bytes()).ok_or(HeadError::Path)?;
    let mut segments = decoded.split(|&byte| byte == b'/');
    if segments.any(|segment| segment == b"." || segment == b"..") {
        return Err(HeadError::Path);
    }
    Ok(())
}

/// Decodes percent escapes; `None` if one is malformed.
pub fn percent_decode(text: &[u8]) -> Option<Vec<u8>> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.iter();
    while let Some(&byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let high = char::from(*bytes.next()?).to_digit(16)?;
        let low = char::from(*bytes.next()?).to_digit(16)?;
        decoded.push((high << 4 | low) as u8);
    }
    Some(decoded)
}

fn syntax(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyFields,
        _ => HeadError::Syntax,
    }
}
