//! What the outcome of an HTTP call proves about the server.

use std::io::ErrorKind;

use awc::ClientResponse;
use awc::error::ConnectError;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use awc::http::header::CONTENT_LENGTH;
use bytes::Bytes;
use futures::Stream;

/// What a failed call proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Nothing: the server may have carried out the request.
    MaybeSent,
    /// No connection could be made, so the request was not sent.
    Unsent,
    /// The same, because nobody listens at the server's address.
    Refused,
}

/// Returns what a failed call proves.
///
/// The client library also reports a connection that ends before the answer as an error of connecting,
/// [`ConnectError::Disconnected`]; the server may have carried out the request by then. Only errors that
/// occur before a request is written count as unsent, so that a new kind of error counts as possibly sent.
pub fn classify(error: &SendRequestError) -> CallFailure {
    let SendRequestError::Connect(error) = error else {
        return CallFailure::MaybeSent;
    };
    match error {
        ConnectError::Io(e) if e.kind() == ErrorKind::ConnectionRefused => CallFailure::Refused,
        ConnectError::Io(_)
        | ConnectError::Timeout
        | ConnectError::Resolver(_)
        | ConnectError::NoRecords
        | ConnectError::Unresolved => CallFailure::Unsent,
        _ => CallFailure::MaybeSent,
    }
}

/// Reads the whole body of an answer of at most `limit` bytes.
///
/// The client library takes a body for complete if the connection ends in order within it. A body that is
/// shorter than the answer says is an error here.
///
/// # Errors
///
/// Returns an error if the body is too long, can't be read, or is incomplete.
pub async fn read_body<S>(
    response: &mut ClientResponse<S>,
    limit: usize,
) -> Result<Bytes, PayloadError>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let length = response.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    let body = response.body().limit(limit).await?;
    match length {
        Some(length) if body.len() < length => Err(PayloadError::Incomplete(None)),
        _ => Ok(body),
    }
}
