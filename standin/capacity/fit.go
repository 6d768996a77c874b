package capacity

import "math"

// Point is one measured value Y at the size X.
type Point struct{ X, Y float64 }

// Line is the line that Fit fitted to points.
type Line struct {
	Slope, Intercept float64
	// Residual is the largest vertical distance of a point from the line.
	Residual float64
}

// Fit fits a line by least squares. With fewer than two different values of X the slope is zero.
func Fit(points []Point) Line {
	var x, y, n float64

	for _, p := range points {
		x, y, n = x+p.X, y+p.Y, n+1
	}

	if n == 0 {
		return Line{}
	}

	x, y = x/n, y/n

	var xx, xy float64

	for _, p := range points {
		xx += (p.X - x) * (p.X - x)
		xy += (p.X - x) * (p.Y - y)
	}

	l := Line{Intercept: y}
	if xx > 0 {
		l.Slope = xy / xx
		l.Intercept = y - l.Slope*x
	}

	for _, p := range points {
		l.Residual = max(l.Residual, math.Abs(p.Y-l.At(p.X)))
	}

	return l
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Slope*x + l.Intercept }
