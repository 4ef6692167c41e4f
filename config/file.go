package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// File is one file of the operators' configuration folder.
type File struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// Hash is a SHA-256 digest in hexadecimal digits.
type Hash string

func hashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}
