//! The end of all connections of a port, because the process leaves. Those that wait for a request are closed
//! first, so that their clients move to other processes while there is time. Requests of which only a part has
//! come at the very end are refused.

use std::time::Duration;

use super::ConnectionId;
use super::Connections;
use super::Port;
use super::connection::Connection;
use super::connection::Phase;
use crate::prelude::Mono;

/// The time in which the first request may come on a connection that has just been opened.
const FIRST_REQUEST: Duration = Duration::from_millis(200);

impl Connections {
    /// Returns the connections of a port that wait for a request. A client that has just connected is given the time
    /// to send its first one.
    pub fn unused(&self, now: Mono, port: Port) -> Vec<ConnectionId> {
        let waits = |c: &Connection| {
            let is_new = c.phase == Phase::Head && now.since(c.head_since) < FIRST_REQUEST;
            c.awaits_request() && !is_new
        };
        self.of_port(port, waits)
    }

    /// Returns whether a connection waits for a request of which nothing has come.
    pub fn awaits_request(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(id);
        connection.is_some_and(Connection::awaits_request)
    }

    /// Returns the connections of a port on which a part of a request has come.
    pub fn unfinished(&self, port: Port) -> Vec<ConnectionId> {
        self.of_port(port, Connection::in_request)
    }

    /// Returns whether the body of a request comes in on a connection.
    pub fn is_receiving_body(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(id);
        connection.is_some_and(|c| c.phase == Phase::Body)
    }

    /// Returns whether a request of a port is being received, served or answered.
    pub fn is_busy(&self, port: Port) -> bool {
        let is_busy = |c: &Connection| !c.awaits_request() && c.phase != Phase::Closing;
        !self.of_port(port, is_busy).is_empty()
    }

    fn of_port(&self, port: Port, holds: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let of_port = self.connections.iter().filter(|(_, c)| c.port == port);
        let chosen = of_port.filter(|(_, c)| holds(c));
        chosen.map(|(id, _)| id).collect()
    }
}
