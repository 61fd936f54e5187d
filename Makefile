# What developers do, by name.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# A balancer on this machine's loopback, before the one upstream that the example names.
run: build
	target/release/fernroute serve --config deploy/example.json
