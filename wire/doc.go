// Package wire defines the messages that hosts exchange. Its code is generated from wire.proto.
package wire

//go:generate sh -c "go build -o /tmp/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=/tmp/protoc-gen-go --go_out=. --go_opt=paths=source_relative wire.proto"
