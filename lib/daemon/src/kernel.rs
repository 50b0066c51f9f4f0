//! A micro-kernel: the services of a process find each other by name.
//!
//! Names are looked up when a service starts, never for each request.

use std::any::Any;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use thiserror::Error;

/// Why a service was not found.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KernelError {
    /// Nothing was registered under the name.
    #[error("no service is named `{0}`")]
    Unknown(&'static str),
    /// What is registered is of another type.
    #[error("service `{0}` is of another type")]
    OtherType(&'static str),
}

/// The services of a process.
#[derive(Clone, Default)]
pub struct Kernel {
    services: Arc<Mutex<HashMap<&'static str, Arc<dyn Any + Send + Sync>>>>,
}

impl Kernel {
    /// Registers a service, usually an actor's address. A later one takes the name over.
    pub fn register<T: Any + Send + Sync>(&self, name: &'static str, service: T) {
        let mut services = self.services.lock().expect("no panic while held");
        services.insert(name, Arc::new(service));
    }

    /// Finds a service by its name.
    ///
    /// # Errors
    ///
    /// When there is none of that name and type.
    pub fn find<T: Any + Send + Sync + Clone>(&self, name: &'static str) -> Result<T, KernelError> {
        let services = self.services.lock().expect("no panic while held");
        let service = services.get(name).ok_or(KernelError::Unknown(name))?;
        let typed = service.downcast_ref::<T>();
        typed.cloned().ok_or(KernelError::OtherType(name))
    }
}

#[cfg(test)]
mod tests;
