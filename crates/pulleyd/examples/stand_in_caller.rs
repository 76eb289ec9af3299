//! A stand-in caller for a local deployment. Sends one request and prints its answer on one line.

#[expect(dead_code, reason = "the tests use functions that this program does not")]
#[path = "../tests/sessions/http_caller.rs"]
mod http_caller;

use std::error::Error;

const USAGE: &str = "usage: stand_in_caller HOST:PORT METHOD PATH [BODY]";

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (address, method, path, body) = match &args[..] {
        [address, method, path] => (address, method, path, ""),
        [address, method, path, body] => (address, method, path, body.as_str()),
        _ => return Err(USAGE.into()),
    };
    let answer = http_caller::call(address.parse()?, method, path, &[], body).await?;
    println!("{} {}", answer.status, answer.body.trim_end());
    Ok(())
}
