//! The platform's list of live and leaving instances.

use std::future::Future;

use mgw_report::report::List;
use smol_str::SmolStr;

use crate::transport::{Endpoint, Error, Options};

/// The instance list.
pub trait Service {
    /// The list as the platform shows it; it lags behind the actual state.
    fn instances(&self) -> impl Future<Output = Result<List, Error>>;
}

/// The HTTP adapter of [`Service`].
#[derive(Clone)]
pub struct Client(Endpoint);

impl Client {
    /// An adapter for the instance list at `address`.
    pub fn new<A>(address: A, options: Options) -> Self
    where
        A: Into<SmolStr>,
    {
        Self(Endpoint::new(address, options))
    }
}

impl Service for Client {
    async fn instances(&self) -> Result<List, Error> {
        self.0.get_json("read the instance list", "/instances").await
    }
}
