//! The micro-kernel of a process: a registry by which its services find each other by name and type.
//!
//! Services look names up when they start, never per request.

use std::any::Any;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use thiserror::Error;

/// The reason why a service was not found.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KernelError {
    /// No service is registered under the name.
    #[error("no service is named `{0}`")]
    Unknown(&'static str),
    /// The service registered under the name has another type.
    #[error("service `{0}` is of another type")]
    OtherType(&'static str),
}

/// The registry of a process's services. Clones share their contents.
#[derive(Clone, Default)]
pub struct Kernel {
    services: Arc<Mutex<HashMap<&'static str, Arc<dyn Any + Send + Sync>>>>,
}

impl Kernel {
    /// Registers a service, usually an actor's address. Replaces a service that is already registered under
    /// the name.
    pub fn register<T: Any + Send + Sync>(&self, name: &'static str, service: T) {
        let mut services = self
            .services
            .lock()
            .expect("no thread panics while holding the lock");
        services.insert(name, Arc::new(service));
    }

    /// Returns the service registered under a name.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no service of this name, or if it is of another type.
    pub fn find<T: Any + Send + Sync + Clone>(&self, name: &'static str) -> Result<T, KernelError> {
        let services = self
            .services
            .lock()
            .expect("no thread panics while holding the lock");
        let service = services.get(name).ok_or(KernelError::Unknown(name))?;
        let typed = service.downcast_ref::<T>();
        typed.cloned().ok_or(KernelError::OtherType(name))
    }
}

#[cfg(test)]
mod tests;
