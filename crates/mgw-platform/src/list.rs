//! Client of the platform's instance list, which holds live and leaving instances.

use std::future::Future;

use mgw_report::report::List;
use smol_str::SmolStr;

use crate::transport::{Endpoint, Error, Options};

/// Read access to the platform's instance list.
pub trait Service {
    /// Fetches the list as the platform publishes it, which lags behind the actual state.
    fn instances(&self) -> impl Future<Output = Result<List, Error>>;
}

/// The HTTP adapter of [`Service`].
#[derive(Clone)]
pub struct Client(Endpoint);

impl Client {
    /// Creates a client for the instance list at `address`, an IP address with a port.
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
