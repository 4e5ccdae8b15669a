package load

import "image/color"

var palette = []color.RGBA{
	{31, 119, 180, 255}, {255, 127, 14, 255}, {44, 160, 44, 255}, {214, 39, 40, 255}, {148, 103, 189, 255}, {140, 86, 75, 255},
}

func plotColor(i int) color.RGBA { return palette[i%len(palette)] }
