//! Binding and serving one router.

use std::net::SocketAddr;

use snafu::ResultExt;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;
use volo_http::server::route::Router;

use crate::standin_error::ListenSnafu;
use crate::standin_error::ServeSnafu;
use crate::standin_error::StandinError;

/// Serves `router` on `listen` until the process is told to stop.
///
/// Prints the bound address on standard output, so that a caller may ask for port 0.
pub(crate) async fn serve(listen: SocketAddr, router: Router) -> Result<(), StandinError> {
    let listener = TcpListener::bind(listen)
        .await
        .context(ListenSnafu { listen })?;
    let bound = listener.local_addr().context(ListenSnafu { listen })?;
    println!("listening {bound}");
    Server::new(router)
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(|error| {
            ServeSnafu {
                listen: bound,
                reason: error.to_string(),
            }
            .build()
        })
}
