//! Client of the weight store, which holds the model weights that engines load.

use std::future::Future;

use mgw_report::report::WeightStore;
use smol_str::SmolStr;

use crate::transport::{Endpoint, Error, Options};

/// Read access to the weight store's status. Weights themselves are fetched by the engines.
pub trait Service {
    /// Returns the number of active and queued loads and the limit on active ones.
    fn status(&self) -> impl Future<Output = Result<WeightStore, Error>>;
}

/// The HTTP adapter of [`Service`].
#[derive(Clone)]
pub struct Client(Endpoint);

impl Client {
    /// Creates a client for the weight store at `address`, an IP address with a port.
    pub fn new<A>(address: A, options: Options) -> Self
    where
        A: Into<SmolStr>,
    {
        Self(Endpoint::new(address, options))
    }
}

impl Service for Client {
    async fn status(&self) -> Result<WeightStore, Error> {
        self.0.get_json("read the weight store's status", "/weights").await
    }
}
