# Builds the generated code; CI does not need it, since the result is committed.
.PHONY: generate
generate:
	go -C tools build -o ../.bin/ tool
	PATH="$(CURDIR)/.bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative internal/peer/wire/wire.proto
