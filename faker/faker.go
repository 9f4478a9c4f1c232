// Package faker provides small stand-ins for the outside systems: the platform,
// model engines and booking servers. They record what reached them, so that
// tests check promises where they matter.
package faker
