package bundle

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("bundle")
