// Package faker provides small stand-ins for external systems: the platform, model
// engines and booking servers. They record what reached them, so that tests check
// promises at the receiver.
package faker
