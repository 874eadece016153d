# Shortcuts for common commands. `make run CONFIG=FILE` starts the daemon with the bootstrap file FILE.
.PHONY: all build test lint run ci

all: build

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	ROUTER_CONFIG=$(CONFIG) exec target/release/query-router

ci:
	bash .ci/run
