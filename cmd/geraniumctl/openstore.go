package main

import (
	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwstore"
)

// openStore returns the store at an address, an IP and port. Tests replace it.
var openStore = func(address string) (gw.Store, error) {
	store, err := gwstore.New(gwstore.WithEndpoints(address))
	if err != nil {
		return nil, err
	}
	return store, nil
}
