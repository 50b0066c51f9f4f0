//! What the outcome of an HTTP call proves about the server.

use std::io::ErrorKind;

use awc::error::ConnectError;
use awc::error::SendRequestError;

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
