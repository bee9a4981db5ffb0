//! The caller-facing HTTP listener and its graceful shutdown.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::{any, get, post};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::traffic::handlers;
use crate::traffic::state::TrafficState;

/// Delay after an error of `accept`, such as too many open files.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(50);

/// Builds the router with all routes for callers.
pub fn router(shared: Arc<TrafficState>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(handlers::inference))
        .route("/v1/completions", post(handlers::inference))
        .route("/v1/models", get(handlers::models))
        .route("/services/{service}", any(handlers::service))
        .route("/services/{service}/", any(handlers::service))
        .route("/services/{service}/{*path}", any(handlers::service))
        .route("/healthz", get(handlers::healthz))
        .route("/readyz", get(handlers::readyz))
        .route("/metrics", get(handlers::metrics))
        .fallback(handlers::not_found)
        .with_state(shared.clone())
        .merge(shared.extra_routes.clone())
}

/// Serves callers until `shutdown`, then stops gracefully: the readiness check fails, connections
/// are accepted until the load balancer has noticed, and every request in flight is finished.
///
/// # Errors
///
/// If the address of the listener cannot be read. Errors of single connections are ignored.
pub async fn serve(
    listener: TcpListener,
    shared: Arc<TrafficState>,
    shutdown: impl Future<Output = ()>,
) -> std::io::Result<()> {
    listener.local_addr()?;
    let driver = tokio::spawn({
        let shared = shared.clone();
        async move { shared.drive().await }
    });
    let graceful = GracefulShutdown::new();
    let service = TowerToHyperService::new(router(shared.clone()));
    let permits = Arc::new(Semaphore::new(shared.limits.max_connections));
    let accept = accept_all(&listener, &shared, &graceful, &service, &permits);
    let drain_notice = async {
        shutdown.await;
        shared.start_draining();
        tokio::time::sleep(Duration::from_millis(shared.balancer_notice_ms)).await;
    };
    tokio::select! {
        () = accept => {}
        () = drain_notice => {}
    }
    drop(listener);
    graceful.shutdown().await;
    shared.wait_until_idle().await;
    driver.abort();
    Ok(())
}

async fn accept_all(
    listener: &TcpListener,
    shared: &TrafficState,
    graceful: &GracefulShutdown,
    service: &TowerToHyperService<Router>,
    permits: &Arc<Semaphore>,
) {
    loop {
        // The semaphore is never closed.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve_connection(shared, graceful, service, stream);
                tokio::spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_ERROR_BACKOFF).await,
        }
    }
}

/// Serves one connection. Errors on the connection are ignored, since the caller sees them.
fn serve_connection(
    shared: &TrafficState,
    graceful: &GracefulShutdown,
    service: &TowerToHyperService<Router>,
    stream: TcpStream,
) -> impl Future<Output = ()> + use<> {
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(shared.limits.head_timeout_ms))
        .max_buf_size(shared.limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service.clone());
    let watched = graceful.watch(connection);
    async move {
        let _ = watched.await;
    }
}
