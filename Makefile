# What developers do, by name.
.PHONY: build test lint run fleet scale figures

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --document-private-items --locked --quiet

# A balancer on this machine's loopback, with stand-ins for the upstream and the discovery that the example names.
run: build
	target/release/fernroute-testbed beside --config deploy/example.json --program "target/release/fernroute serve"

# Three coordinators, four balancers, stand-ins and a load on loopback; the ledger's status until Ctrl-C.
fleet: build
	target/release/fernroute-testbed fleet

# The whole installation at a quarter of its size: hollow balancers, real ones under load, coordinators, faults. Some minutes.
scale: build
	target/release/fernroute-testbed scale lab/scale/whole.toml --factor 0.25 --json scale.json

# The scenarios in virtual time against the figures that they gave before: what differs is printed, and ends it with 1.
figures: build
	target/release/fernroute-testbed figures lab/figures.txt
