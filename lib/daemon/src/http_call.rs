//! What the outcome of an HTTP call proves about the server.

use awc::error::ConnectError;
use awc::error::SendRequestError;

/// Returns whether a request was certainly not sent, because no connection to the server was made.
///
/// The client library also reports a connection that ends before the answer as an error of connecting,
/// [`ConnectError::Disconnected`]; the server may have carried out the request by then. Only errors that
/// occur before a request is written count, so that a new kind of error counts as possibly sent.
pub fn is_unsent(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Connect(
            ConnectError::Io(_)
                | ConnectError::Timeout
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
        )
    )
}
